//! The value under a job's own key: the accepted job or the record of its refusal.

use serde::{Deserialize, Serialize};
use stairstall_core::CustomerId;
use stairstall_core::batch::AcceptedJob;
use stairstall_core::claim::Mark;

use super::encoding::{self, EncodingError};

/// First bytes of an encoded refusal record. An encoded job never starts with them.
const REFUSAL_PREFIX: &[u8] = b"{\"refused_by\"";

/// The record of a refusal, stored under the key of the refused job. It makes late writes by
/// earlier requests for this job fail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RefusalRecord {
    /// Identifies the write, so that a daemon whose write got no answer recognizes it in the store.
    /// Must stay the first field, see [`REFUSAL_PREFIX`].
    pub(crate) refused_by: Mark,
    /// The customer who submitted the job.
    pub(crate) customer: Option<CustomerId>,
    /// Time of the customer's first request for this job, in milliseconds since the Unix epoch.
    pub(crate) first_asked_unix_ms: u64,
}

impl RefusalRecord {
    /// Creates the first record under an ID, for a customer's request at `unix_ms`. `mark`
    /// identifies its write.
    pub(crate) const fn new(mark: Mark, customer: Option<CustomerId>, unix_ms: u64) -> Self {
        Self {
            refused_by: mark,
            customer,
            first_asked_unix_ms: unix_ms,
        }
    }

    /// Takes over the first-request time of an earlier refusal if it is the same customer's.
    pub(crate) fn inherit_first_request(&mut self, earlier: &Self) {
        if earlier.customer == self.customer {
            let first = earlier.first_asked_unix_ms;
            self.first_asked_unix_ms = self.first_asked_unix_ms.min(first);
        }
    }
}

/// The value under a job's own key.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StoredJob {
    /// The job as it was accepted.
    Accepted(Box<AcceptedJob>),
    /// The record of a refusal: there is no such job.
    Refused(RefusalRecord),
}

impl StoredJob {
    /// Decodes the value of a job's own key.
    pub(crate) fn read(value: &[u8]) -> Result<Self, EncodingError> {
        if value.starts_with(REFUSAL_PREFIX) {
            return encoding::decode(value).map(Self::Refused);
        }
        encoding::decode(value).map(|job| Self::Accepted(Box::new(job)))
    }

    /// Returns the job, or `None` if it was refused.
    pub(crate) fn accepted(self) -> Option<AcceptedJob> {
        match self {
            Self::Accepted(job) => Some(*job),
            Self::Refused(_) => None,
        }
    }
}
