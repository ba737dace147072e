//! Which minion a request goes to, so that no minion's slots are exceeded.

mod circuit;
mod minions;
mod shares;

pub use circuit::Circuit;
pub use minions::{MinionInfo, MinionTable, Outcome, Pick, PickRefusal};
pub use shares::Shares;
