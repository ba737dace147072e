//! Labels on customers, guarantees, classes, rules, jobs and requests.

mod selector;
mod set;

pub use selector::{Selector, SelectorError};
pub use set::Labels;
