//! How long nothing unplanned has disturbed a site.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::lock;

/// Longer than any play: nothing has disturbed it yet.
const ALWAYS: Duration = Duration::from_secs(86_400);

/// What disturbs a site now, and since when nothing does.
#[derive(Debug, Default)]
pub(super) struct Calm {
    under_way: Mutex<UnderWay>,
}

#[derive(Debug, Default)]
struct UnderWay {
    disturbances: usize,
    last_ended: Option<Instant>,
}

/// A disturbance; it ends when this is dropped.
#[derive(Debug)]
pub(super) struct Disturbance(Arc<Calm>);

impl Calm {
    /// Begins a disturbance.
    pub(super) fn disturb(calm: &Arc<Self>) -> Disturbance {
        lock(&calm.under_way).disturbances += 1;
        Disturbance(Arc::clone(calm))
    }

    /// Returns for how long it has been calm; zero while something disturbs the site.
    pub(super) fn lasted(&self) -> Duration {
        let under_way = lock(&self.under_way);
        if under_way.disturbances > 0 {
            return Duration::ZERO;
        }
        under_way.last_ended.map_or(ALWAYS, |ended| ended.elapsed())
    }
}

impl Drop for Disturbance {
    fn drop(&mut self) {
        let mut under_way = lock(&self.0.under_way);
        under_way.disturbances -= 1;
        under_way.last_ended = Some(Instant::now());
    }
}
