//! Settings of what callers may hold, the same in both modes.

use bpaf::{Parser, construct};

use super::{Validator, string_option};
use crate::intake::{IntakeLimits, IntakeSettings};

/// Largest number of connections, megabytes or open files that can be set.
const MAX_INTAKE: u64 = 1_000_000;
/// Bytes in one megabyte.
pub(crate) const BYTES_PER_MB: u64 = 1_000_000;
/// Shortest and longest limit of a head that can be set, in kilobytes.
const HEAD_KB: std::ops::RangeInclusive<u64> = 8..=1_024;
const BYTES_PER_KB: usize = 1_024;

/// Unchecked settings as they were given.
#[derive(Debug, Clone)]
pub(crate) struct RawIntake {
    connections: String,
    mb: String,
    head_kb: String,
}

/// Memory and open files of the VM as they were given, for a daemon that needs them for this alone.
#[derive(Debug, Clone)]
pub(crate) struct RawVmLimits {
    memory_mb: String,
    open_files: String,
}

/// Returns the parser of the VM's limits.
pub(crate) fn vm_parser() -> impl Parser<RawVmLimits> {
    let memory_mb = string_option(
        "memory-mb",
        "STAIRSTALL_MEMORY_MB",
        "Megabytes of memory that this daemon may use; 0 where that is not known",
    )
    .fallback("0".to_owned());
    let open_files = string_option(
        "open-files",
        "STAIRSTALL_OPEN_FILES",
        "Files and connections that this daemon may have open; 0 where that is not known",
    )
    .fallback("0".to_owned());
    construct!(RawVmLimits {
        memory_mb,
        open_files,
    })
}

impl RawVmLimits {
    /// Returns the memory in bytes and the number of open files; 0 where they are not known.
    pub(crate) fn read(&self, checks: &mut Validator) -> (u64, u64) {
        let memory_mb = checks.number("--memory-mb", &self.memory_mb, 0, MAX_INTAKE);
        let open_files = checks.number("--open-files", &self.open_files, 0, MAX_INTAKE);
        let memory_bytes = memory_mb.unwrap_or(0).saturating_mul(BYTES_PER_MB);
        (memory_bytes, open_files.unwrap_or(0))
    }
}

/// Returns the parser of what callers may hold.
pub(crate) fn parser() -> impl Parser<RawIntake> {
    let connections = string_option(
        "caller-connections",
        "STAIRSTALL_CALLER_CONNECTIONS",
        "Connections that callers may have open; 0 takes a tenth of the open files, as far as the memory allows",
    )
    .fallback("0".to_owned());
    let mb = string_option(
        "caller-mb",
        "STAIRSTALL_CALLER_MB",
        "Megabytes that callers' connections and unfinished requests may hold together; 0 takes a tenth of the memory",
    )
    .fallback("0".to_owned());
    let head_kb = string_option(
        "max-head-kb",
        "STAIRSTALL_MAX_HEAD_KB",
        "Longest head of a request, in kilobytes",
    )
    .fallback("16".to_owned());
    construct!(RawIntake {
        connections,
        mb,
        head_kb,
    })
}

impl RawIntake {
    /// Returns the limits on a VM with this memory and these open files; 0 where they are not known.
    pub(crate) fn read(
        &self,
        checks: &mut Validator,
        memory_bytes: u64,
        open_files: u64,
    ) -> Option<IntakeLimits> {
        let connections = checks.size("--caller-connections", &self.connections, 0, MAX_INTAKE);
        let mb = checks.number("--caller-mb", &self.mb, 0, MAX_INTAKE);
        let (min_kb, max_kb) = HEAD_KB.into_inner();
        let head_kb = checks.size("--max-head-kb", &self.head_kb, min_kb, max_kb);
        Some(IntakeLimits::new(&IntakeSettings {
            memory_bytes,
            open_files,
            connections: connections?,
            bytes: usize::try_from(mb?.saturating_mul(BYTES_PER_MB)).ok()?,
            head_bytes: head_kb?.saturating_mul(BYTES_PER_KB),
        }))
    }
}
