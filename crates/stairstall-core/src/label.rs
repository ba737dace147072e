//! Labels of configuration resources, jobs and requests, and selectors over them.

mod selector;
mod set;

pub use selector::{Selector, SelectorError};
pub use set::Labels;
