//! HTTP calls whose errors say whether the request may have run.
//!
//! [`HttpClient`] keeps pooled connections through `hyper-util`. An error is
//! [`Verdict::NotRun`](stairstall_core::Verdict::NotRun) only where no byte of
//! the request can have reached the other side: the connection was never made,
//! or a pooled one was closed before the request was taken up.

mod client;
mod error;

pub use client::{Body, HttpClient, JsonRequest, JsonResponse};
pub use error::CallError;
