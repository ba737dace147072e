//! Workers as the directory lists them.

use super::pool::Worker;
use super::{Now, Planner};
use crate::WorkerId;
use crate::batch::{Decision, ListedWorker};

impl Planner {
    /// Takes a worker from the directory.
    ///
    /// An entry that is as it was, as most are at a heartbeat, changes nothing.
    pub fn handle_listed_worker(&mut self, listed: ListedWorker, now: Now) {
        let known = self.workers.get(&listed.id);
        if known.is_some_and(|known| known.is_listed && known.listed == listed) {
            return;
        }
        if known.is_some_and(|known| known.incarnation_state.is_newer_than(listed.incarnation)) {
            // It was written by a life that is over.
            return;
        }
        if known.is_some_and(|known| known.incarnation_state.differs_from(listed.incarnation)) {
            self.begin_incarnation(&listed.id, listed.incarnation, now);
        }
        self.replan = true;
        self.retire_earlier_lives(&listed, now);
        let id = listed.id.clone();
        let known = self.workers.get(&id);
        if known.is_none_or(|known| known.listed.address != listed.address) {
            self.worker_set_version += 1;
        }
        if known.is_none() {
            let fence = self.next_fencing_token();
            let worker = Worker::new(listed.clone(), fence, now.at);
            self.workers.insert(id.clone(), worker);
        }
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let was_draining = worker.listed.draining;
        worker.in_evacuated_zone = self.evacuation.includes(&listed.zone);
        worker.incarnation_state.incarnation =
            worker.incarnation_state.incarnation.or(listed.incarnation);
        worker.relist(listed, now.at);
        if worker.listed.draining && !was_draining {
            self.decisions
                .push(Decision::of_worker(&id, "it is leaving"));
            self.drain_worker(&id, now);
        }
    }

    /// Another life at the same address says that earlier ones are over.
    fn retire_earlier_lives(&mut self, listed: &ListedWorker, now: Now) {
        let over: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|w| w.listed.address == listed.address && w.listed.id != listed.id)
            .filter(|w| !w.is_listed)
            .map(|w| w.listed.id.clone())
            .collect();
        for id in over {
            self.end_incarnation(&id, "another life listens at its address", now);
        }
    }

    /// Takes word that the directory lists a worker no longer.
    pub fn handle_unlisted_worker(&mut self, id: &WorkerId, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.unlist(now.at);
        let address = worker.listed.address.clone();
        let is_replaced = |other: &Worker| other.is_listed && other.listed.address == address;
        if !address.is_empty() && self.workers.values().any(is_replaced) {
            self.end_incarnation(id, "another life listens at its address", now);
            return;
        }
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.has_left(now.at) {
            self.end_incarnation(id, "it has left", now);
        } else {
            self.remove_if_gone(id, now);
        }
        self.replan = true;
    }

    /// Takes the workers that should be asked now rather than in their turn.
    pub fn take_workers_to_poll(&mut self) -> Vec<WorkerId> {
        std::mem::take(&mut self.workers_to_poll)
    }

    /// Tells whether a worker is known.
    #[must_use]
    pub fn knows_worker(&self, id: &WorkerId) -> bool {
        self.workers.contains_key(id)
    }

    /// Counts changes of the set of workers.
    #[must_use]
    pub const fn worker_set_version(&self) -> u64 {
        self.worker_set_version
    }
}
