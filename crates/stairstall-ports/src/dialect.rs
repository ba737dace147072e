use std::fmt;

use quick_error::quick_error;
use stairstall_core::WorkerId;
use stairstall_core::batch::{BatchSpec, CallerState, Catalog, ListedWorker};

quick_error! {
    /// Something that is not in the agreed form.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum FormatError {
        /// The text can't be read.
        Unreadable(what: String) {
            display("{what}")
        }
    }
}

/// Names and formats of callers, operators and the directory of workers.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Path that the balancer asks on the health address.
    fn readiness_path(&self) -> &'static str;

    /// Header that says how long a caller waits for an answer, in milliseconds.
    fn deadline_header(&self) -> &'static str;

    /// Scheme of the header that carries a customer's key.
    fn key_scheme(&self) -> &'static str;

    /// Key of the operators' configuration in the store.
    fn configuration_key(&self) -> &'static str;

    /// Prefix of the keys that evacuate an availability zone, which each end with its name; the
    /// zone is restored by taking its key away.
    fn evacuated_zone_prefix(&self) -> &'static str;

    /// Prefix of the directory of workers in the store.
    fn directory_prefix(&self) -> &'static str;

    /// Reads the operators' configuration.
    ///
    /// # Errors
    ///
    /// Says what can't be read.
    fn read_catalog(&self, value: &[u8]) -> Result<Catalog, FormatError>;

    /// Reads an entry of the directory.
    ///
    /// # Errors
    ///
    /// Says what can't be read.
    fn read_worker(&self, id: WorkerId, value: &[u8]) -> Result<ListedWorker, FormatError>;

    /// Reads a job as its caller describes it; its bounds are not checked.
    ///
    /// # Errors
    ///
    /// Says what can't be read.
    fn read_job(&self, body: &[u8]) -> Result<BatchSpec, FormatError>;

    /// Writes a job's state for its caller.
    fn write_state(&self, state: CallerState) -> Vec<u8>;

    /// Writes how many jobs of a queue wait.
    fn write_pending(&self, pending: u64) -> Vec<u8>;
}
