use std::fmt;

use quick_error::quick_error;
use stairstall_core::batch::{BatchSpec, CallerState, Catalog, ListedWorker};
use stairstall_core::{JobId, WorkerId};

quick_error! {
    /// A value that is not in the format of the platform.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum FormatError {
        /// The value could not be parsed; `what` gives the reason.
        Unreadable(what: String) {
            display("{what}")
        }
    }
}

/// A configuration as far as it could be read.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadCatalog {
    /// Everything in it that could be read.
    pub catalog: Catalog,
    /// What could not be read and is not in force.
    pub refused: Vec<RefusedEntry>,
}

/// A part of a configuration that could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedEntry {
    /// Names the entry as operators know it.
    pub entry: String,
    /// Why it could not be read.
    pub why: String,
}

/// The platform's names and formats: HTTP paths and headers, store keys, and the encoding of jobs,
/// configuration and directory entries.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Path of the readiness check that the load balancer requests on the health address.
    fn readiness_path(&self) -> &'static str;

    /// Header with the time that a caller waits for a response, in milliseconds.
    fn deadline_header(&self) -> &'static str;

    /// Authentication scheme of the header with a customer's API key.
    fn key_scheme(&self) -> &'static str;

    /// Store key of the operators' configuration.
    fn configuration_key(&self) -> &'static str;

    /// Prefix of all store keys that operators write, the configuration's and those of evacuated
    /// zones among them.
    fn operator_prefix(&self) -> &'static str;

    /// Prefix of the store keys that mark availability zones as evacuated. A key is the prefix
    /// followed by the zone's name; deleting it restores the zone.
    fn evacuated_zone_prefix(&self) -> &'static str;

    /// Prefix of the store keys of the worker directory.
    fn directory_prefix(&self) -> &'static str;

    /// Parses the operators' configuration. An entry that can't be parsed is left out alone.
    ///
    /// # Errors
    ///
    /// Returns a [`FormatError`] if the value is no configuration at all, or names no version.
    fn read_catalog(&self, value: &[u8]) -> Result<ReadCatalog, FormatError>;

    /// Parses an entry of the worker directory.
    ///
    /// # Errors
    ///
    /// Returns a [`FormatError`] if the value cannot be parsed.
    fn read_worker(&self, id: WorkerId, value: &[u8]) -> Result<ListedWorker, FormatError>;

    /// Reads the ID of a job as callers name it.
    ///
    /// # Errors
    ///
    /// Returns why the text is no ID of a job on this platform.
    fn read_job_id(&self, text: &str) -> Result<JobId, FormatError>;

    /// Parses a job specification from a caller, without checking it against the limits.
    ///
    /// # Errors
    ///
    /// Returns a [`FormatError`] if the value cannot be parsed.
    fn read_job(&self, body: &[u8]) -> Result<BatchSpec, FormatError>;

    /// Encodes a job's state for its caller.
    fn write_state(&self, state: CallerState) -> Vec<u8>;

    /// Encodes the number of waiting jobs of a queue.
    fn write_pending(&self, pending: u64) -> Vec<u8>;
}
