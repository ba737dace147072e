//! Settings from flags and environment variables, checked before anything starts.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bpaf::{OptionParser, ParseFailure, Parser, construct, long};
use stairstall_core::{VmId, ZoneId};

/// Width of help, in characters.
pub(crate) const HELP_WIDTH: usize = 100;

/// Settings as they were given, unchecked.
#[derive(Debug, Clone)]
struct Raw {
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
    log: String,
}

/// Checked settings of one daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this VM.
    pub vm: VmId,
    /// Availability zone of this VM.
    pub zone: ZoneId,
    /// Where callers and operators are served.
    pub listen: SocketAddr,
    /// Where peers are served.
    pub rpc_listen: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// The platform's list of VMs.
    pub vm_list: SocketAddr,
    /// Where metrics go, if anywhere.
    pub statsd: Option<SocketAddr>,
    /// Longest call to the store.
    pub store_timeout: Duration,
    /// How long new requests are still taken after a stop was asked for.
    pub drain_delay: Duration,
    /// How long requests in flight may take after that.
    pub drain_limit: Duration,
    /// Longest request body, in bytes.
    pub max_body_bytes: usize,
    /// Most requests of one service that wait at a time.
    pub max_waiting: usize,
    /// Log filter, as in `info` or `stairstalld=debug`.
    pub log: String,
}

/// One setting that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The flag.
    pub flag: &'static str,
    /// The value as given.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

/// Every setting that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSettings(pub Vec<InvalidSetting>);

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for mistake in &self.0 {
            let InvalidSetting {
                flag,
                value,
                allowed,
            } = mistake;
            let given = if value.is_empty() {
                String::new()
            } else {
                format!("{value:?} is not allowed: ")
            };
            writeln!(f, "stairstalld: {flag}: {given}{allowed}")?;
        }
        Ok(())
    }
}

impl std::error::Error for InvalidSettings {}

impl InvalidSettings {
    /// A command line that can't be read at all.
    pub(crate) fn unreadable(allowed: String) -> Self {
        Self(vec![InvalidSetting {
            flag: "command line",
            value: String::new(),
            allowed,
        }])
    }
}

pub(crate) fn string_option(
    flag: &'static str,
    env: &'static str,
    help: &'static str,
) -> impl Parser<String> {
    long(flag).env(env).help(help).argument::<String>("VALUE")
}

fn parser() -> OptionParser<Raw> {
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
    let log = string_option(
        "log",
        "STAIRSTALL_LOG",
        "Log filter, as in 'info' or 'stairstalld=debug'",
    )
    .fallback("info".to_owned());
    construct!(Raw {
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
        log,
    })
    .to_options()
    .descr("The stairstall daemon: routes requests and places jobs in one availability zone")
    .version(env!("CARGO_PKG_VERSION"))
}

/// Collects mistakes while settings are read one by one.
#[derive(Debug, Default)]
pub(crate) struct Validator(pub(crate) Vec<InvalidSetting>);

impl Validator {
    fn refuse(&mut self, flag: &'static str, value: &str, allowed: impl Into<String>) {
        self.0.push(InvalidSetting {
            flag,
            value: value.to_owned(),
            allowed: allowed.into(),
        });
    }

    /// Notes a flag without a value; true where there is none.
    fn is_missing(&mut self, flag: &'static str, value: &str) -> bool {
        if value.is_empty() {
            let variable = flag
                .trim_start_matches('-')
                .replace('-', "_")
                .to_uppercase();
            self.refuse(
                flag,
                "",
                format!("must be set, by the flag or by STAIRSTALL_{variable}"),
            );
        }
        value.is_empty()
    }

    pub(crate) fn name<T>(&mut self, flag: &'static str, value: &str) -> Option<T>
    where
        T: std::str::FromStr,
        T::Err: fmt::Display,
    {
        if self.is_missing(flag, value) {
            return None;
        }
        value
            .parse()
            .map_err(|e| self.refuse(flag, value, format!("{e}")))
            .ok()
    }

    pub(crate) fn address(&mut self, flag: &'static str, value: &str) -> Option<SocketAddr> {
        if self.is_missing(flag, value) {
            return None;
        }
        let allowed = "an IP number and a port, as in 127.0.0.1:7000";
        value
            .parse()
            .map_err(|_| self.refuse(flag, value, allowed))
            .ok()
    }

    pub(crate) fn number(
        &mut self,
        flag: &'static str,
        value: &str,
        least: u64,
        most: u64,
    ) -> Option<u64> {
        let found = value.parse().ok().filter(|n| (least..=most).contains(n));
        if found.is_none() {
            self.refuse(
                flag,
                value,
                format!("a whole number from {least} to {most}"),
            );
        }
        found
    }

    pub(crate) fn millis(
        &mut self,
        flag: &'static str,
        value: &str,
        least: u64,
        most: u64,
    ) -> Option<Duration> {
        self.number(flag, value, least, most)
            .map(Duration::from_millis)
    }

    pub(crate) fn size(
        &mut self,
        flag: &'static str,
        value: &str,
        least: u64,
        most: u64,
    ) -> Option<usize> {
        self.number(flag, value, least, most)
            .and_then(|n| usize::try_from(n).ok())
    }
}

impl Settings {
    /// Reads the settings of this process; `--help` and `--version` end it.
    ///
    /// # Errors
    ///
    /// Returns every setting that is not allowed.
    pub fn from_process() -> Result<Self, InvalidSettings> {
        match parser().run_inner(bpaf::Args::current_args()) {
            Ok(raw) => Self::check(&raw),
            Err(ParseFailure::Stderr(doc)) => Err(InvalidSettings::unreadable(doc.to_string())),
            Err(help) => {
                help.print_message(HELP_WIDTH);
                std::process::exit(0);
            }
        }
    }

    /// Reads the settings from arguments, for tests.
    ///
    /// # Errors
    ///
    /// Returns every setting that is not allowed, or that the arguments can't be read.
    pub fn from_arguments(arguments: &[&str]) -> Result<Self, InvalidSettings> {
        let raw = parser().run_inner(arguments).map_err(|failure| {
            let value = arguments.join(" ");
            let allowed = failure.unwrap_stderr();
            InvalidSettings(vec![InvalidSetting {
                flag: "arguments",
                value,
                allowed,
            }])
        })?;
        Self::check(&raw)
    }

    fn check(raw: &Raw) -> Result<Self, InvalidSettings> {
        let mut checks = Validator::default();
        let settings = Self::read(raw, &mut checks);
        match settings {
            Some(settings) if checks.0.is_empty() => Ok(settings),
            _ => Err(InvalidSettings(checks.0)),
        }
    }

    /// Reads every field before the first missing one can end the reading.
    fn read(raw: &Raw, checks: &mut Validator) -> Option<Self> {
        let day = 24 * 3600 * 1000;
        let vm = checks.name("--vm", &raw.vm);
        let zone = checks.name("--zone", &raw.zone);
        let listen = checks.address("--listen", &raw.listen);
        let rpc_listen = checks.address("--rpc-listen", &raw.rpc_listen);
        let store = checks.address("--store", &raw.store);
        let vm_list = checks.address("--vm-list", &raw.vm_list);
        let statsd = raw
            .statsd
            .as_ref()
            .map(|value| checks.address("--statsd", value));
        let store_timeout = checks.millis("--store-timeout-ms", &raw.store_timeout_ms, 10, 10_000);
        let drain_delay = checks.millis("--drain-delay-ms", &raw.drain_delay_ms, 0, day);
        let drain_limit = checks.millis("--drain-limit-ms", &raw.drain_limit_ms, 0, day);
        let max_body_bytes =
            checks.size("--max-body-bytes", &raw.max_body_bytes, 1, 64 * 1024 * 1024);
        let max_waiting = checks.size("--max-waiting", &raw.max_waiting, 1, 1_000_000);
        if listen.is_some() && listen == rpc_listen && listen.is_some_and(|a| a.port() != 0) {
            checks.refuse(
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
            log: raw.log.clone(),
        })
    }
}
