//! Workspaces: whose keys open which routes, and how much each may ask.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use dillspool_keys::{CallerKey, KeyDigest};
use dillspool_schema::Name;

use crate::request::GenerationParams;

/// What a workspace's limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitUnit {
    /// Requests.
    Requests,
    /// Tokens: those of the prompt and the most that the answer may have.
    Tokens {
        /// Tokens that a request without a model counts for.
        plain: u64,
    },
}

/// How much a workspace may ask of all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceLimit {
    /// What is counted.
    pub unit: LimitUnit,
    /// How much of it a second.
    pub per_s: f64,
    /// How much beyond that at once.
    pub burst: f64,
}

impl WorkspaceLimit {
    /// How much a request counts for.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    pub fn amount(&self, generation: Option<&GenerationParams>) -> f64 {
        match (self.unit, generation) {
            (LimitUnit::Requests, _) => 1.0,
            (LimitUnit::Tokens { .. }, Some(terms)) => {
                terms.prompt_tokens.saturating_add(terms.max_output_tokens) as f64
            }
            (LimitUnit::Tokens { plain }, None) => plain as f64,
        }
    }
}

/// One workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceEntry {
    /// Its name, which backend servers are told.
    pub name: Name,
    /// Rank of its requests, before that of the route; 0 is the highest.
    pub priority: u32,
    /// `None` where it may ask as much as it likes.
    pub limit: Option<WorkspaceLimit>,
}

/// All workspaces, found by their callers' keys.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceTable {
    by_key: HashMap<KeyDigest, Arc<WorkspaceEntry>>,
    by_name: BTreeMap<Name, Arc<WorkspaceEntry>>,
}

impl WorkspaceTable {
    /// Builds the table; a key that two workspaces name opens the later one.
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

    /// The workspace that a caller's key belongs to, in constant time.
    pub fn find_by_key(&self, key: &CallerKey) -> Option<&Arc<WorkspaceEntry>> {
        self.by_key.get(key.digest())
    }

    /// A workspace by name.
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
