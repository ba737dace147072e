//! Settings from flags and environment variables, validated before the daemon starts.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bpaf::{Args, OptionParser, ParseFailure, Parser, construct, long};
use stairstall_core::{VmId, ZoneId};

use self::intake::{RawIntake, RawVmLimits};
use crate::intake::IntakeLimits;

pub(crate) mod intake;

/// Width of the help text, in characters.
const HELP_WIDTH: usize = 100;

/// Settings as given, before they are validated.
#[derive(Debug, Clone)]
struct RawSettings {
    vm: String,
    zone: String,
    listen: String,
    rpc_listen: String,
    store: String,
    vm_list: String,
    statsd: Option<String>,
    store_timeout_ms: String,
    drain_delay_ms: String,
    drain_limit_ms: String,
    max_body_bytes: String,
    max_waiting: String,
    vm_limits: RawVmLimits,
    intake: RawIntake,
    log: String,
}

/// Validated settings of one daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this VM.
    pub vm: VmId,
    /// Availability zone of this VM.
    pub zone: ZoneId,
    /// Address of the HTTP server for callers and operators.
    pub listen: SocketAddr,
    /// Address of the RPC server for other daemons.
    pub rpc_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform's list of VMs.
    pub vm_list: SocketAddr,
    /// Address that metrics are sent to over UDP, if any.
    pub statsd: Option<SocketAddr>,
    /// Timeout of a call to the store.
    pub store_timeout: Duration,
    /// How long new requests are still accepted after a stop was requested.
    pub drain_delay: Duration,
    /// How long requests in flight may take after [`drain_delay`](Self::drain_delay).
    pub drain_limit: Duration,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of waiting requests per service.
    pub max_waiting: usize,
    /// What callers may hold.
    pub intake: IntakeLimits,
    /// Log filter, for example `info` or `stairstalld=debug`.
    pub log: String,
}

/// A setting with an invalid value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Name of the flag.
    pub flag: &'static str,
    /// The given value; empty if there is none.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

/// All settings with invalid values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSettings(pub Vec<InvalidSetting>);

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for setting in &self.0 {
            let InvalidSetting {
                flag,
                value,
                allowed,
            } = setting;
            let given = if value.is_empty() {
                String::new()
            } else {
                format!("invalid value {value:?}: ")
            };
            writeln!(f, "stairstalld: {flag}: {given}{allowed}")?;
        }
        Ok(())
    }
}

impl std::error::Error for InvalidSettings {}

impl InvalidSettings {
    /// Returns the error for a command line that can't be parsed.
    pub(crate) fn unreadable(allowed: String) -> Self {
        Self(vec![InvalidSetting {
            flag: "command line",
            value: String::new(),
            allowed,
        }])
    }
}

/// Parses the command line of this process. `--help` and `--version` print their text and exit.
pub(crate) fn parse_command_line<T>(
    parser: &OptionParser<T>,
    arguments: Args,
) -> Result<T, InvalidSettings> {
    parser
        .run_inner(arguments)
        .map_err(|failure| match failure {
            ParseFailure::Stderr(doc) => InvalidSettings::unreadable(doc.to_string()),
            help => {
                help.print_message(HELP_WIDTH);
                std::process::exit(0);
            }
        })
}

/// Parses arguments that a test gives.
pub(crate) fn parse_arguments<T>(
    parser: &OptionParser<T>,
    arguments: &[&str],
) -> Result<T, InvalidSettings> {
    let parsed = parser.run_inner(arguments);
    parsed.map_err(|failure| InvalidSettings::unreadable(failure.unwrap_stderr()))
}

/// Returns the parser of one setting, which is a flag or an environment variable.
pub(crate) fn string_option(
    flag: &'static str,
    env: &'static str,
    help: &'static str,
) -> impl Parser<String> {
    long(flag).env(env).help(help).argument::<String>("VALUE")
}

fn parser() -> OptionParser<RawSettings> {
    let vm = string_option("vm", "STAIRSTALL_VM", "Name of this VM").fallback(String::new());
    let zone = string_option("zone", "STAIRSTALL_ZONE", "Availability zone of this VM")
        .fallback(String::new());
    let listen = string_option(
        "listen",
        "STAIRSTALL_LISTEN",
        "IP:PORT for callers and operators",
    )
    .fallback(String::new());
    let rpc_listen = string_option(
        "rpc-listen",
        "STAIRSTALL_RPC_LISTEN",
        "IP:PORT for other daemons",
    )
    .fallback(String::new());
    let store = string_option(
        "store",
        "STAIRSTALL_STORE",
        "IP:PORT of the platform's store",
    )
    .fallback(String::new());
    let vm_list = string_option(
        "vm-list",
        "STAIRSTALL_VM_LIST",
        "IP:PORT of the platform's list of VMs",
    )
    .fallback(String::new());
    let statsd = string_option(
        "statsd",
        "STAIRSTALL_STATSD",
        "IP:PORT that metrics go to over UDP",
    )
    .optional();
    let store_timeout_ms = string_option(
        "store-timeout-ms",
        "STAIRSTALL_STORE_TIMEOUT_MS",
        "Longest call to the store",
    )
    .fallback("1000".to_owned());
    let drain_delay_ms = string_option(
        "drain-delay-ms",
        "STAIRSTALL_DRAIN_DELAY_MS",
        "How long requests are still taken after a stop was asked for",
    )
    .fallback("5000".to_owned());
    let drain_limit_ms = string_option(
        "drain-limit-ms",
        "STAIRSTALL_DRAIN_LIMIT_MS",
        "How long requests in flight may take after that",
    )
    .fallback("900000".to_owned());
    let max_body_bytes = string_option(
        "max-body-bytes",
        "STAIRSTALL_MAX_BODY_BYTES",
        "Longest request body",
    )
    .fallback("1048576".to_owned());
    let max_waiting = string_option(
        "max-waiting",
        "STAIRSTALL_MAX_WAITING",
        "Most requests of a service that wait",
    )
    .fallback("1000".to_owned());
    let vm_limits = intake::vm_parser();
    let intake = intake::parser();
    let log = string_option(
        "log",
        "STAIRSTALL_LOG",
        "Log filter, as in 'info' or 'stairstalld=debug'",
    )
    .fallback("info".to_owned());
    construct!(RawSettings {
        vm,
        zone,
        listen,
        rpc_listen,
        store,
        vm_list,
        statsd,
        store_timeout_ms,
        drain_delay_ms,
        drain_limit_ms,
        max_body_bytes,
        max_waiting,
        vm_limits,
        intake,
        log,
    })
    .to_options()
    .descr("The stairstall daemon: routes requests and places jobs in one availability zone")
    .version(env!("CARGO_PKG_VERSION"))
}

/// Validates settings one by one and collects all invalid ones.
#[derive(Debug, Default)]
pub(crate) struct Validator(pub(crate) Vec<InvalidSetting>);

impl Validator {
    /// Records an invalid setting.
    fn reject(&mut self, flag: &'static str, value: &str, allowed: impl Into<String>) {
        self.0.push(InvalidSetting {
            flag,
            value: value.to_owned(),
            allowed: allowed.into(),
        });
    }

    /// Returns whether a required setting has no value, and records it as invalid then.
    fn reject_missing(&mut self, flag: &'static str, value: &str) -> bool {
        if value.is_empty() {
            let variable = flag
                .trim_start_matches('-')
                .replace('-', "_")
                .to_uppercase();
            self.reject(
                flag,
                "",
                format!("must be set, by the flag or by STAIRSTALL_{variable}"),
            );
        }
        value.is_empty()
    }

    /// Parses a required name.
    pub(crate) fn name<T>(&mut self, flag: &'static str, value: &str) -> Option<T>
    where
        T: std::str::FromStr,
        T::Err: fmt::Display,
    {
        if self.reject_missing(flag, value) {
            return None;
        }
        value
            .parse()
            .map_err(|e| self.reject(flag, value, format!("{e}")))
            .ok()
    }

    /// Parses a required IP address with port.
    pub(crate) fn address(&mut self, flag: &'static str, value: &str) -> Option<SocketAddr> {
        if self.reject_missing(flag, value) {
            return None;
        }
        let allowed = "an IP address and a port, for example 127.0.0.1:7000";
        value
            .parse()
            .map_err(|_| self.reject(flag, value, allowed))
            .ok()
    }

    /// Parses a whole number between two bounds, both included.
    pub(crate) fn number(
        &mut self,
        flag: &'static str,
        value: &str,
        min: u64,
        max: u64,
    ) -> Option<u64> {
        let found = value.parse().ok().filter(|n| (min..=max).contains(n));
        if found.is_none() {
            self.reject(flag, value, format!("a whole number from {min} to {max}"));
        }
        found
    }

    /// Parses a number of milliseconds between two bounds, both included.
    pub(crate) fn millis(
        &mut self,
        flag: &'static str,
        value: &str,
        min: u64,
        max: u64,
    ) -> Option<Duration> {
        self.number(flag, value, min, max)
            .map(Duration::from_millis)
    }

    /// Parses a size between two bounds, both included.
    pub(crate) fn size(
        &mut self,
        flag: &'static str,
        value: &str,
        min: u64,
        max: u64,
    ) -> Option<usize> {
        self.number(flag, value, min, max)
            .and_then(|n| usize::try_from(n).ok())
    }
}

impl Settings {
    /// Reads the settings of this process. `--help` and `--version` print their text and exit.
    ///
    /// # Errors
    ///
    /// Returns all invalid settings.
    pub fn from_process() -> Result<Self, InvalidSettings> {
        let raw = parse_command_line(&parser(), Args::current_args())?;
        Self::check(&raw)
    }

    /// Reads the settings from arguments instead of the command line, for tests.
    ///
    /// # Errors
    ///
    /// Returns all invalid settings, or that the arguments can't be parsed.
    pub fn from_arguments(arguments: &[&str]) -> Result<Self, InvalidSettings> {
        let raw = parse_arguments(&parser(), arguments)?;
        Self::check(&raw)
    }

    fn check(raw: &RawSettings) -> Result<Self, InvalidSettings> {
        let mut validator = Validator::default();
        let settings = Self::read(raw, &mut validator);
        match settings {
            Some(settings) if validator.0.is_empty() => Ok(settings),
            _ => Err(InvalidSettings(validator.0)),
        }
    }

    /// Validates every field before it returns at the first invalid one, so that all errors are
    /// reported at once.
    fn read(raw: &RawSettings, validator: &mut Validator) -> Option<Self> {
        let day_ms = 24 * 3600 * 1000;
        let vm = validator.name("--vm", &raw.vm);
        let zone = validator.name("--zone", &raw.zone);
        let listen = validator.address("--listen", &raw.listen);
        let rpc_listen = validator.address("--rpc-listen", &raw.rpc_listen);
        let store = validator.address("--store", &raw.store);
        let vm_list = validator.address("--vm-list", &raw.vm_list);
        let statsd = raw
            .statsd
            .as_ref()
            .map(|value| validator.address("--statsd", value));
        let store_timeout =
            validator.millis("--store-timeout-ms", &raw.store_timeout_ms, 10, 10_000);
        let drain_delay = validator.millis("--drain-delay-ms", &raw.drain_delay_ms, 0, day_ms);
        let drain_limit = validator.millis("--drain-limit-ms", &raw.drain_limit_ms, 0, day_ms);
        let max_body_bytes =
            validator.size("--max-body-bytes", &raw.max_body_bytes, 1, 64 * 1024 * 1024);
        let max_waiting = validator.size("--max-waiting", &raw.max_waiting, 1, 1_000_000);
        let (memory_bytes, open_files) = raw.vm_limits.read(validator);
        let intake = raw.intake.read(validator, memory_bytes, open_files);
        if listen.is_some() && listen == rpc_listen && listen.is_some_and(|a| a.port() != 0) {
            validator.reject(
                "--rpc-listen",
                &raw.rpc_listen,
                "another address than --listen",
            );
        }
        Some(Self {
            vm: vm?,
            zone: zone?,
            listen: listen?,
            rpc_listen: rpc_listen?,
            store: store?,
            vm_list: vm_list?,
            statsd: statsd.flatten(),
            store_timeout: store_timeout?,
            drain_delay: drain_delay?,
            drain_limit: drain_limit?,
            max_body_bytes: max_body_bytes?,
            max_waiting: max_waiting?,
            intake: intake?,
            log: raw.log.clone(),
        })
    }
}
