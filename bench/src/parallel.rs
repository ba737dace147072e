//! Does something with many things, some at a time.

use std::sync::{Mutex, PoisonError};
use std::thread;

/// Returns what `act` makes of each item, in no particular order; `act` is told the item's place.
pub fn in_parallel<T: Sync, R: Send>(
    items: &[T],
    at_a_time: usize,
    act: impl Fn(usize, &T) -> Option<R> + Sync,
) -> Vec<R> {
    let left = Mutex::new(items.iter().enumerate());
    let done = Mutex::new(Vec::new());
    let work = || {
        loop {
            let next = left.lock().unwrap_or_else(PoisonError::into_inner).next();
            let Some((index, item)) = next else {
                return;
            };
            if let Some(result) = act(index, item) {
                done.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(result);
            }
        }
    };
    thread::scope(|scope| {
        for _ in 0..at_a_time.max(1) {
            scope.spawn(work);
        }
    });
    done.into_inner().unwrap_or_else(PoisonError::into_inner)
}
