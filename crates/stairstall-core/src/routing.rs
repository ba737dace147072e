//! Selection of a minion for each request, such that no minion's slots are exceeded.

mod circuit;
mod minions;
mod shares;

pub use circuit::CircuitBreaker;
pub use minions::{MinionInfo, MinionTable, Pick, PickRefusal, RequestOutcome};
pub use shares::SlotShares;
