//! Client of the platform's key-value store.
//!
//! It uses the JSON gateway of the etcd v3 interface (`/v3/kv/range`,
//! `/v3/kv/txn`, `/v3/lease/…`, `/v3/watch`), restricted
//! to compare-and-swap on single keys, leases and watches. Every error says
//! whether a write may have taken effect.

mod client;
mod error;
mod watch;
pub mod wire;

pub use client::{Entry, Expect, LeaseId, Listing, Store, Swap};
pub use error::StoreError;
pub use watch::{Event, Watch};
