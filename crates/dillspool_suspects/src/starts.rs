//! Names for starts of backend servers where nothing tells them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;

use crate::book::CrashedInstance;

/// Time within which reports of an end are of one: hosts find it within a round trip of the break, and a
/// backend server is not back and ended again so soon.
const ONE_END: Duration = Duration::from_secs(1);
/// Ends of a backend server that are kept; older ones stand against nobody that is not refused.
const MOST_ENDS: usize = 16;

/// Tells the ends of a backend server apart by their moments.
#[derive(Debug, Default)]
pub(crate) struct StartNames {
    ends: HashMap<Arc<str>, Vec<(Moment, CrashedInstance)>>,
    next: u64,
}

impl StartNames {
    /// The name of the start that ended at a moment.
    pub(crate) fn name(&mut self, backend: &str, at: Moment) -> CrashedInstance {
        let ends = self.ends.entry(Arc::from(backend)).or_default();
        let is_near = |known: Moment| known.since(at).max(at.since(known)) < ONE_END;
        if let Some((_at, name)) = ends.iter().find(|(known, _name)| is_near(*known)) {
            return Arc::clone(name);
        }
        self.next += 1;
        let name = CrashedInstance::from(format!("{backend}#{}", self.next));
        ends.push((at, Arc::clone(&name)));
        if ends.len() > MOST_ENDS {
            ends.remove(0);
        }
        name
    }
}
