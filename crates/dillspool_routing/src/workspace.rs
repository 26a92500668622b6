//! Workspaces, their keys and their rate limits.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use dillspool_keys::{CallerKey, KeyDigest};
use dillspool_schema::Name;

use crate::request::GenerationParams;

/// What a workspace's rate limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitUnit {
    /// Requests.
    Requests,
    /// Tokens: the prompt's and the maximum of the answer.
    Tokens {
        /// Tokens charged for a request that is not a model request.
        plain: u64,
    },
}

/// Rate limit of a workspace, shared by all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceLimit {
    /// What is counted.
    pub unit: LimitUnit,
    /// Refill rate per second.
    pub per_s: f64,
    /// Burst size on top of the refill rate.
    pub burst: f64,
}

impl WorkspaceLimit {
    /// Returns what a request counts for.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    pub fn amount(&self, generation: Option<&GenerationParams>) -> f64 {
        match (self.unit, generation) {
            (LimitUnit::Requests, _) => 1.0,
            (LimitUnit::Tokens { .. }, Some(params)) => {
                params.prompt_tokens.saturating_add(params.max_output_tokens) as f64
            }
            (LimitUnit::Tokens { plain }, None) => plain as f64,
        }
    }
}

/// One workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceEntry {
    /// Name, also sent to backend servers.
    pub name: Name,
    /// Priority of its requests, compared before the route's; 0 is the highest.
    pub priority: u32,
    /// Rate limit; `None` if the workspace has none.
    pub limit: Option<WorkspaceLimit>,
}

/// Workspaces by name and by key.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceTable {
    by_key: HashMap<KeyDigest, Arc<WorkspaceEntry>>,
    by_name: BTreeMap<Name, Arc<WorkspaceEntry>>,
}

impl WorkspaceTable {
    /// Builds the table. If two workspaces list the same key, the later one gets it.
    pub fn new(workspaces: impl IntoIterator<Item = (WorkspaceEntry, Vec<CallerKey>)>) -> Self {
        let mut table = Self::default();
        for (entry, keys) in workspaces {
            let entry = Arc::new(entry);
            for key in keys {
                table.by_key.insert(*key.digest(), Arc::clone(&entry));
            }
            table.by_name.insert(Name::clone(&entry.name), entry);
        }
        table
    }

    /// Finds the workspace of a client's key, in constant time.
    pub fn find_by_key(&self, key: &CallerKey) -> Option<&Arc<WorkspaceEntry>> {
        self.by_key.get(key.digest())
    }

    /// Finds a workspace by name.
    pub fn get(&self, name: &str) -> Option<&Arc<WorkspaceEntry>> {
        self.by_name.get(name)
    }

    /// All workspaces.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<WorkspaceEntry>> {
        self.by_name.values()
    }

    /// Number of workspaces.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there is no workspace.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
