//! Admission control: fair queueing, refusals with a retry delay, and a limit on retries.

mod fair_queue;
mod retry_after;
mod retry_budget;

pub(crate) use fair_queue::virtual_cost;
pub use fair_queue::{FairQueue, Flow, Refusal, Ticket};
pub use retry_after::{RetryAfterBounds, RetryAfterSchedule};
pub use retry_budget::RetryBudget;
