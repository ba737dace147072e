//! Which workers are listed at which address.

use std::collections::HashMap;

use crate::WorkerId;

/// Index of the known workers by the address in their latest directory entry.
///
/// A worker that is listed replaces the unlisted ones at its address. Without this index, each
/// listing would have to look at all workers, and loading the directory would take time that grows
/// with the square of the fleet.
#[derive(Debug, Clone, Default)]
pub(super) struct AddressIndex {
    /// Almost always one worker to an address; several while one replaces another.
    workers: HashMap<String, Vec<WorkerId>>,
}

impl AddressIndex {
    /// Adds a worker. A worker whose address is not known is not indexed.
    pub(super) fn insert(&mut self, address: &str, id: &WorkerId) {
        if address.is_empty() {
            return;
        }
        let at_address = self.workers.entry(address.to_owned()).or_default();
        if !at_address.contains(id) {
            at_address.push(id.clone());
        }
    }

    /// Removes a worker.
    pub(super) fn remove(&mut self, address: &str, id: &WorkerId) {
        let Some(at_address) = self.workers.get_mut(address) else {
            return;
        };
        at_address.retain(|known| known != id);
        if at_address.is_empty() {
            self.workers.remove(address);
        }
    }

    /// Returns the workers at an address other than `id`.
    pub(super) fn others_at<'a>(
        &'a self,
        address: &str,
        id: &'a WorkerId,
    ) -> impl Iterator<Item = &'a WorkerId> {
        let at_address = self.workers.get(address);
        at_address
            .into_iter()
            .flatten()
            .filter(move |other| *other != id)
    }
}
