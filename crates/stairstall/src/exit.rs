//! What went wrong, and the exit codes that scripts rely on.

use std::process::ExitCode;

use quick_error::quick_error;
use stairstall_core::Verdict;
use stairstall_core::protocol::ErrorBody;

/// Trouble on this side.
const LOCAL: u8 = 1;
/// A command line or a value that is not allowed.
pub const USAGE: u8 = 2;
/// Nothing ran; it is worth trying again.
const NOT_RUN: u8 = 3;
/// Somebody else was first.
const CONFLICT: u8 = 4;
/// It may have run.
const MAY_HAVE_RUN: u8 = 5;
/// There is no such thing.
const NOT_FOUND: u8 = 6;
/// A job ended without success.
const FAILED: u8 = 7;

quick_error! {
    /// Why a command did not succeed.
    #[derive(Debug)]
    pub enum Trouble {
        /// Something on this side: a file, the output.
        Local(what: String) {
            display("{what}")
        }
        /// A value on the command line or in a file is not allowed.
        Usage(what: String) {
            display("{what}")
        }
        /// No daemon could be reached; nothing ran.
        Unreachable(what: String) {
            display("{what}; nothing ran")
        }
        /// The call broke off; it may have run.
        Broken(what: String) {
            display("{what}; it may have run")
        }
        /// A daemon refused or failed.
        Refused(status: u16, body: Box<ErrorBody>) {
            display("{}", explain(*status, body))
        }
        /// A job ended without success.
        JobFailed(what: String) {
            display("{what}")
        }
    }
}

fn explain(status: u16, body: &ErrorBody) -> String {
    let field = body
        .field
        .as_ref()
        .map_or(String::new(), |field| format!("{field}: "));
    let retry = body
        .retry_after_ms
        .map_or(String::new(), |ms| format!("; come back in {ms} ms"));
    format!(
        "{field}{} (status {status}, verdict {}{retry})",
        body.error, body.verdict
    )
}

impl Trouble {
    /// Returns the exit code that docs/INTERFACE.md lists.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Local(_) => LOCAL,
            Self::Usage(_) | Self::Refused(400, _) => USAGE,
            Self::Broken(_) => MAY_HAVE_RUN,
            Self::JobFailed(_) => FAILED,
            Self::Refused(404, _) => NOT_FOUND,
            Self::Refused(_, body) if body.verdict != Verdict::NotRun => MAY_HAVE_RUN,
            Self::Refused(409, _) => CONFLICT,
            Self::Unreachable(_) | Self::Refused(..) => NOT_RUN,
        })
    }
}
