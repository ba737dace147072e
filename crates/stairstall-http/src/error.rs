use std::time::Duration;

use quick_error::quick_error;
use stairstall_core::Verdict;

quick_error! {
    /// A call that brought no usable answer.
    #[derive(Debug)]
    pub enum CallError {
        /// No connection was made: nothing was sent.
        Connect(source: hyper_util::client::legacy::Error) {
            display("no connection: {}", root_cause(source))
            source(source)
        }
        /// The connection closed before the request was taken up: nothing was sent.
        NotSent(source: hyper_util::client::legacy::Error) {
            display("connection closed before the request was sent: {}", root_cause(source))
            source(source)
        }
        /// The connection broke after the request may have left.
        ConnectionLost(source: hyper_util::client::legacy::Error) {
            display("connection broke: {}", root_cause(source))
            source(source)
        }
        /// The answer broke off.
        Truncated(source: hyper::Error) {
            display("answer broke off: {source}")
            source(source)
        }
        /// No answer came in time.
        TimedOut(after: Duration) {
            display("no answer within {} ms", after.as_millis())
        }
        /// The answer is longer than allowed.
        BodyTooLarge(limit: usize) {
            display("answer is longer than {limit} bytes")
        }
        /// The request or the answer is not in the agreed form.
        InvalidFormat(what: String) {
            display("unexpected form: {what}")
        }
    }
}

impl CallError {
    /// Says whether the other side may have carried out the request.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Connect(_) | Self::NotSent(_) => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}

/// Returns the innermost cause, which says most.
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
