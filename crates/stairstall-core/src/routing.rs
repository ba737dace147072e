//! Which minion a request goes to, so that no minion's slots are exceeded.

mod circuit;
mod minions;
mod shares;

pub use circuit::CircuitBreaker;
pub use minions::{MinionInfo, MinionTable, Pick, PickRefusal, RequestOutcome};
pub use shares::SlotShares;
