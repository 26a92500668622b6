//! The backend servers that one request was sent to.

use dillspool_routing::{BackendEntry, BackendId, BackendInstance, BackendStart, DirectoryView};

/// Backend servers that a request is not sent to again. After a restart a backend server counts as
/// another one.
#[derive(Clone, Debug, Default)]
pub(crate) struct TriedBackends {
    tried: Vec<BackendInstance>,
}

impl TriedBackends {
    pub(crate) fn push(&mut self, entry: &BackendEntry) {
        if !self.contains(entry) {
            self.tried.push(entry.instance());
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.tried.is_empty()
    }

    pub(crate) fn contains(&self, entry: &BackendEntry) -> bool {
        let same = |tried: &&BackendInstance| tried.id == entry.id;
        self.tried
            .iter()
            .filter(same)
            .any(|tried| !BackendStart::are_different(tried.start, entry.start))
    }

    /// The ids of those that have not restarted since.
    pub(crate) fn ids(&self, view: &DirectoryView) -> Vec<BackendId> {
        let is_tried = |tried: &&BackendInstance| {
            view.entries.get(&tried.id).is_none_or(|entry| self.contains(entry))
        };
        self.tried.iter().filter(is_tried).map(|tried| BackendId::clone(&tried.id)).collect()
    }
}
