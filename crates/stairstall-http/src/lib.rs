//! HTTP client whose errors say whether the request may have run.
//!
//! [`HttpClient`] pools connections with `hyper-util`. The verdict of an error is
//! [`Verdict::NotRun`](stairstall_core::Verdict::NotRun) only if no byte of the
//! request can have reached the server: the connection was never established,
//! or a pooled connection closed before the request was written.

mod body_buffer;
mod client;
mod error;

pub use body_buffer::{BodyBuffer, BodyTooLong};
pub use client::{Body, HttpClient, JsonRequest, JsonResponse};
pub use error::CallError;
