//! Which workers the planner keeps in contact with, where its VM can't hold connections to all of
//! them.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use super::Planner;
use super::pool::Worker;
use crate::WorkerId;

impl Planner {
    /// Returns the IDs and addresses of the workers to keep in contact with, those with runs first:
    /// their leases have to be renewed.
    ///
    /// These are all workers that have an address, unless the VM can't hold connections to that
    /// many. The others are unresponsive from now on: they get no work, and what ran there starts
    /// again elsewhere once its lease is over.
    pub fn select_links(&mut self) -> Vec<(WorkerId, String)> {
        let max_workers = self.flow.max_workers(&self.policy.flow);
        let mut reachable: Vec<&Worker> = self
            .workers
            .values()
            .filter(|worker| !worker.listed.address.is_empty())
            .collect();
        // Workers in contact stay selected, so that links don't move from one idle worker to another.
        reachable.sort_by_key(|worker| Reverse((!worker.runs.is_empty(), !worker.needs_contact())));
        let selected: Vec<(WorkerId, String)> = reachable
            .iter()
            .take(max_workers)
            .map(|worker| (worker.listed.id.clone(), worker.listed.address.clone()))
            .collect();
        let beyond = reachable.iter().skip(max_workers);
        let beyond: BTreeSet<WorkerId> = beyond.map(|worker| worker.listed.id.clone()).collect();
        for (id, worker) in &mut self.workers {
            worker.set_selected(!beyond.contains(id));
        }
        selected
    }

    /// Returns how many workers the planner has no contact with because its VM can't hold
    /// connections to all of them.
    #[must_use]
    pub fn unselected_workers(&self) -> usize {
        let workers = self.workers.values();
        workers.filter(|worker| !worker.is_selected()).count()
    }
}
