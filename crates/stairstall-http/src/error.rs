use std::time::Duration;

use quick_error::quick_error;
use stairstall_core::Verdict;

quick_error! {
    /// An HTTP call that failed to return a usable response.
    #[derive(Debug)]
    pub enum CallError {
        /// The connection could not be established: nothing was sent.
        Connect(source: hyper_util::client::legacy::Error) {
            display("no connection: {}", root_cause(source))
            source(source)
        }
        /// A pooled connection closed before the request was written: nothing was sent.
        NotSent(source: hyper_util::client::legacy::Error) {
            display("connection closed before the request was sent: {}", root_cause(source))
            source(source)
        }
        /// The connection was lost after the request may have been sent.
        ConnectionLost(source: hyper_util::client::legacy::Error) {
            display("connection broke: {}", root_cause(source))
            source(source)
        }
        /// The connection was lost while the response body was read.
        Truncated(source: hyper::Error) {
            display("answer broke off: {source}")
            source(source)
        }
        /// No complete response arrived within the timeout.
        TimedOut(after: Duration) {
            display("no answer within {} ms", after.as_millis())
        }
        /// The response body exceeds the size limit.
        BodyTooLarge(limit: usize) {
            display("answer is longer than {limit} bytes")
        }
        /// The request could not be encoded or the response could not be decoded.
        InvalidFormat(what: String) {
            display("unexpected form: {what}")
        }
    }
}

impl CallError {
    /// Returns whether the server may have executed the request.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Connect(_) | Self::NotSent(_) => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}

/// Returns the innermost cause, which is the most specific.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

impl From<hyper_util::client::legacy::Error> for CallError {
    fn from(error: hyper_util::client::legacy::Error) -> Self {
        if error.is_connect() {
            return Self::Connect(error);
        }
        let canceled = std::error::Error::source(&error)
            .and_then(|source| source.downcast_ref::<hyper::Error>())
            .is_some_and(hyper::Error::is_canceled);
        if canceled {
            Self::NotSent(error)
        } else {
            Self::ConnectionLost(error)
        }
    }
}
