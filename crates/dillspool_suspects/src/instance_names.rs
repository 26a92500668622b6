//! Identifies backend instances by crash time if their start time is unknown.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;

use crate::registry::CrashedInstance;

/// Reports within this time refer to the same crash: every host detects a crash within a round
/// trip, and a backend server cannot restart and crash again that fast.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Crashes kept per backend server; older ones only matter for requests that are already refused.
const MAX_CRASHES: usize = 16;

/// Assigns names to crashed instances, told apart by the time of the crash.
#[derive(Debug, Default)]
pub(crate) struct InstanceNames {
    crashes: HashMap<Arc<str>, Vec<(Moment, CrashedInstance)>>,
    next: u64,
}

impl InstanceNames {
    /// Returns the name of the instance that crashed at the given time.
    pub(crate) fn name(&mut self, backend: &str, at: Moment) -> CrashedInstance {
        let crashes = self.crashes.entry(Arc::from(backend)).or_default();
        let is_near = |known: Moment| known.since(at).max(at.since(known)) < SAME_CRASH_WINDOW;
        if let Some((_at, name)) = crashes.iter().find(|(known, _name)| is_near(*known)) {
            return Arc::clone(name);
        }
        self.next += 1;
        let name = CrashedInstance::from(format!("{backend}#{}", self.next));
        crashes.push((at, Arc::clone(&name)));
        if crashes.len() > MAX_CRASHES {
            crashes.remove(0);
        }
        name
    }
}
