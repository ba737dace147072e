//! Updates from the worker directory, which lists the workers and their addresses.

use super::pool::Worker;
use super::{Now, Planner};
use crate::WorkerId;
use crate::batch::{Decision, Incarnation, ListedWorker};

/// The latest plausible start of an incarnation, in milliseconds since the Unix epoch: the year
/// 2100. A time in microseconds or nanoseconds is later.
///
/// The limit does not depend on the planner's time of day, so that a planner whose clock is wrong
/// still uses its workers.
const LATEST_START_UNIX_MS: u64 = 4_102_444_800_000;

impl Planner {
    /// Handles a worker's entry in the directory.
    ///
    /// An unchanged entry, as in most heartbeats, has no effect. An entry that can't be the worker's
    /// own lists no usable worker.
    pub fn handle_listed_worker(&mut self, listed: ListedWorker, now: Now) {
        if let Some(why) = self.why_implausible(&listed) {
            let id = listed.id;
            self.decisions.push(Decision::of_worker(&id, why));
            self.handle_unlisted_worker(&id, now);
            return;
        }
        let known = self.workers.get(&listed.id);
        if known.is_some_and(|known| known.is_listed && known.listed == listed) {
            return;
        }
        if known.is_some_and(|known| known.incarnation_state.is_newer_than(listed.incarnation)) {
            // The entry was written by an incarnation that has ended.
            return;
        }
        if known.is_some_and(|known| known.incarnation_state.differs_from(listed.incarnation)) {
            self.begin_incarnation(&listed.id, listed.incarnation, now);
        }
        self.replan = true;
        let id = listed.id.clone();
        let known = self.workers.get(&id);
        let is_known = known.is_some();
        let known_address = known.map(|known| known.listed.address.clone());
        if known_address.as_ref() != Some(&listed.address) {
            self.worker_set_version += 1;
            self.addresses
                .remove(&known_address.unwrap_or_default(), &id);
            self.addresses.insert(&listed.address, &id);
        }
        if !is_known {
            let fence = self.next_fencing_token();
            let mut worker = Worker::new(listed.clone(), fence, now.at);
            worker.restore_late_acknowledgements(self.take_late_acknowledgements(&id));
            self.workers.insert(id.clone(), worker);
        }
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let was_draining = worker.listed.draining;
        worker.in_evacuated_zone = self.evacuated_zones.includes(&listed.zone);
        worker.incarnation_state.incarnation =
            worker.incarnation_state.incarnation.or(listed.incarnation);
        worker.relist(listed.clone(), now.at);
        let begins_to_leave = worker.listed.draining && !was_draining;
        self.end_replaced_incarnations(&listed, now);
        if begins_to_leave {
            self.decisions
                .push(Decision::of_worker(&id, "it is leaving"));
            self.drain_worker(&id, now);
        }
    }

    /// Returns why an entry can't be the worker's own, if it can't.
    ///
    /// Other programs can write to the directory too. If the planner believed such an entry, it
    /// would give up runs that go on, and start them a second time.
    fn why_implausible(&self, listed: &ListedWorker) -> Option<&'static str> {
        let start = listed.incarnation.map(Incarnation::unix_ms);
        if start.is_some_and(|start| start > LATEST_START_UNIX_MS) {
            return Some("its directory entry names no possible start");
        }
        let known = self.workers.get(&listed.id)?;
        let moves = known.is_reached() && known.listed.address != listed.address;
        let is_same = !known.incarnation_state.differs_from(listed.incarnation);
        (moves && is_same).then_some("its directory entry names an address that is not its own")
    }

    /// Ends unlisted workers whose address is now used by a newly listed worker: the new worker
    /// replaces them.
    fn end_replaced_incarnations(&mut self, listed: &ListedWorker, now: Now) {
        let Some(newest) = self.workers.get(&listed.id) else {
            return;
        };
        let others = self.addresses.others_at(&listed.address, &listed.id);
        let is_replaced = |worker: &Worker| !worker.is_listed && worker.is_replaced_by(newest);
        let replaced: Vec<WorkerId> = others
            .filter(|id| self.workers.get(*id).is_some_and(is_replaced))
            .cloned()
            .collect();
        for id in replaced {
            self.end_incarnation(&id, "another worker is listed at its address", now);
        }
    }

    /// Returns whether a worker is listed that has replaced an unlisted one at its address.
    fn is_replaced(&self, id: &WorkerId) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let mut others = self.addresses.others_at(&worker.listed.address, id);
        let replaces = |other: &Worker| worker.is_replaced_by(other);
        others.any(|other| self.workers.get(other).is_some_and(replaces))
    }

    /// Handles the removal of a worker from the directory.
    pub fn handle_unlisted_worker(&mut self, id: &WorkerId, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.unlist(now.at);
        let has_left = worker.has_left(now.at);
        if self.is_replaced(id) {
            self.end_incarnation(id, "another worker is listed at its address", now);
        } else if has_left {
            self.end_incarnation(id, "it has left", now);
        } else {
            self.remove_if_gone(id, now);
        }
        self.replan = true;
    }

    /// Drains the workers that should be polled immediately instead of at their next interval.
    pub fn take_workers_to_poll(&mut self) -> Vec<WorkerId> {
        std::mem::take(&mut self.workers_to_poll)
    }

    /// Returns whether the planner knows a worker.
    #[must_use]
    pub fn knows_worker(&self, id: &WorkerId) -> bool {
        self.workers.contains_key(id)
    }

    /// Returns a version that increases whenever the set of workers or their addresses changes.
    #[must_use]
    pub const fn worker_set_version(&self) -> u64 {
        self.worker_set_version
    }
}

impl Worker {
    /// Returns whether the current incarnation has answered at the known address, and still answers
    /// or may have runs.
    fn is_reached(&self) -> bool {
        let has_answered = self.incarnation_state.last_answer_at.is_some();
        has_answered && (self.is_in_contact() || !self.runs.is_empty())
    }
}
