//! Workers that get a new ID in each life, at the address of the life before.

use stairstall_core::WorkerId;
use stairstall_core::batch::{StartOutcome, StopOutcome};

use super::{Answer, Call, Sent, World};

impl World {
    /// Returns the ID of the newest life at a worker's address.
    pub(super) fn current_id(&self, id: &WorkerId) -> WorkerId {
        let mut current = id;
        while let Some(next) = self.replaced_by.get(current) {
            current = next;
        }
        current.clone()
    }

    /// Returns the ID of the life that begins after another one: the same, or one of its own.
    pub(super) fn id_of_next_life(&mut self, id: WorkerId) -> WorkerId {
        if !self.habits.has_new_ids {
            return id;
        }
        let mut listed = self.listed.remove(&id).expect("it was listed");
        let next: WorkerId = format!("{id}n").parse().expect("an id");
        listed.id = next.clone();
        self.listed.insert(next.clone(), listed);
        self.replaced_by.insert(id, next.clone());
        next
    }

    /// Lets the next life at an address refuse what is meant for the one before.
    pub(super) fn refuse_where_replaced(&mut self, sent: &Sent) {
        let current = self.current_id(&sent.worker);
        let is_up = current != sent.worker && self.lives.contains_key(&current);
        if !is_up || self.is_cut(&current) {
            return;
        }
        let answer = match &sent.call {
            Call::Hold(_) => Answer::OtherLife,
            Call::Start(_) => Answer::Start(StartOutcome::OtherLife),
            Call::Stop(_) => Answer::Stop(StopOutcome::OtherLife),
        };
        self.answer(sent.clone(), answer);
    }
}
