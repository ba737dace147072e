//! Workers that say that they leave, and go just after something has ended there.

use rand::RngExt;
use stairstall_core::WorkerId;
use stairstall_core::batch::{RunEnd, RunEndKind};

use super::{Event, News, STEP_MS, Sent, Waiting, World, patience_ms, transit};

/// How long before the announced time a worker may leave, in milliseconds.
const EARLY_MS: u64 = 300;
/// Longest time from an end to the leaving that follows it, in milliseconds.
const AFTER_END_MS: u64 = 50;
/// How long after it was listed an end as done counts as taken note of, in milliseconds.
const NOTED_AFTER_MS: u64 = 100;

/// What becomes of the reports that list ends of a worker that is about to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Farewell {
    /// They arrive as all do.
    InTime,
    /// They arrive up to so many milliseconds late.
    Late(u64),
    /// They do not arrive.
    Lost,
    /// Their connection breaks before they have arrived.
    Broken,
}

/// A worker that said that it leaves.
#[derive(Debug, Clone, Copy)]
pub struct Leaving {
    farewell: Farewell,
    /// When it is gone at the latest.
    until_ms: u64,
    /// How many ends it had when it was about to go; none before.
    ends_before: Option<u64>,
    has_set_out: bool,
}

impl Leaving {
    const fn is_about_to_go(&self, at_ms: u64) -> bool {
        at_ms + EARLY_MS >= self.until_ms
    }
}

impl World {
    /// Lets a worker say at a time that it leaves within so long; it goes just after its last end before that.
    pub fn leave_at(&mut self, id: &WorkerId, at_ms: u64, within_ms: u64, farewell: Farewell) {
        let announced = Event::Announce(id.clone(), within_ms, farewell);
        self.events.push(at_ms, announced);
    }

    pub(super) fn announce(&mut self, id: &WorkerId, within_ms: u64, farewell: Farewell) {
        let Some(life) = self.lives.get(id) else {
            return;
        };
        let mut listed = self.listed[id].clone();
        listed.incarnation = Some(life.incarnation());
        listed.draining = true;
        listed.remaining_ms = Some(within_ms);
        let until_ms = self.at_ms + within_ms;
        let leaving = Leaving {
            farewell,
            until_ms,
            ends_before: None,
            has_set_out: false,
        };
        self.leaving.insert(id.clone(), leaving);
        let behind_ms = self.behind();
        let news = Event::Listed(id.clone(), Some(listed));
        self.events.push(self.at_ms + behind_ms, news);
        self.events.push(until_ms, Event::Leave(id.clone()));
        self.tell(format_args!("{id} leaves within {within_ms}: {farewell:?}"));
    }

    /// Lets workers that are about to go leave after their next end.
    pub(super) fn leave_after_ends(&mut self) {
        let at_ms = self.at_ms;
        for (id, leaving) in &mut self.leaving {
            let Some(life) = self.lives.get(id) else {
                continue;
            };
            if !leaving.is_about_to_go(at_ms) || leaving.has_set_out {
                continue;
            }
            if *leaving.ends_before.get_or_insert(life.ends) < life.ends {
                leaving.has_set_out = true;
                let after_ms = self.random.random_range(0..=AFTER_END_MS);
                self.events.push(at_ms + after_ms, Event::Leave(id.clone()));
            }
        }
    }

    pub(super) fn leave(&mut self, id: &WorkerId) {
        if self.lives.remove(id).is_none() {
            return;
        }
        self.tell(format_args!("{id} has left"));
        let behind_ms = self.behind();
        let gone = Event::Listed(id.clone(), None);
        self.events.push(self.at_ms + behind_ms, gone);
        let waiting = std::mem::take(&mut self.waiting);
        let (cut_short, others): (Vec<Waiting>, _) = waiting
            .into_iter()
            .partition(|waiting| waiting.sent.worker == *id);
        self.waiting = others;
        for waiting in cut_short {
            self.break_off(waiting.sent);
        }
    }

    /// Nobody listens where a worker has left, which shows at once.
    pub(super) fn refuse_where_left(&mut self, sent: Sent) {
        if self.leaving.contains_key(&sent.worker) {
            self.break_off(sent);
        }
    }

    fn break_off(&mut self, sent: Sent) {
        let at_ms = self.at_ms + transit(&mut self.random);
        self.news.push(at_ms, News::TimedOut(sent));
    }

    /// Returns when a report of a worker that leaves arrives, if it does; its ends then count as taken note of,
    /// whatever the planner has made of them.
    pub(super) fn last_words(&mut self, sent: &Sent, ended: &[RunEnd], at_ms: u64) -> Option<u64> {
        let leaving = self.leaving[&sent.worker];
        let farewell = if leaving.is_about_to_go(self.at_ms) && !ended.is_empty() {
            leaving.farewell
        } else {
            Farewell::InTime
        };
        let arrives_ms = match farewell {
            Farewell::InTime => at_ms,
            Farewell::Late(most_ms) => at_ms + self.random.random_range(0..=most_ms),
            Farewell::Lost => return None,
            Farewell::Broken => {
                self.break_off(sent.clone());
                return None;
            }
        };
        let given_up_ms = sent.asked_ms + patience_ms(&sent.call);
        if arrives_ms + STEP_MS < given_up_ms {
            let done = ended.iter().filter(|end| end.kind == RunEndKind::Done);
            for end in done {
                let noted = Event::Noted(end.task.clone());
                self.events.push(self.at_ms + NOTED_AFTER_MS, noted);
            }
        }
        Some(arrives_ms)
    }
}
