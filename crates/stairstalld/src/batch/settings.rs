//! Settings of a batch daemon from flags and environment variables, checked before it starts.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::{Args, OptionParser, Parser, construct};
use stairstall_core::batch::{Bounds, Policy, VmLimits};
use stairstall_core::{VmId, ZoneId};

use crate::intake::IntakeLimits;
use crate::settings::intake::{self, BYTES_PER_MB, RawIntake};
use crate::settings::{
    InvalidSetting, InvalidSettings, Validator, parse_arguments, parse_command_line, string_option,
};

mod policy;

/// Largest allowed value of a setting in milliseconds: one day.
const DAY_MS: u64 = 24 * 3600 * 1000;

/// Default time limit for an evacuation to take effect, in milliseconds, for platforms that state
/// none. The only platform known to evacuate zones requires 5 s.
const DEFAULT_EVACUATE_MS: &str = "5000";

/// Default time limit for a configuration to be in force, in milliseconds, for platforms that state
/// none.
const DEFAULT_CONFIG_APPLY_MS: &str = "2000";

/// Bytes in one megabit.
const BYTES_PER_MBIT: u64 = 125_000;

/// Unchecked settings as they were given.
#[derive(Debug, Clone)]
struct RawSettings {
    vm: String,
    zone: String,
    listen: String,
    health_listen: String,
    rpc_listen: String,
    rpc_advertise: String,
    metrics_listen: String,
    store: String,
    adviser: String,
    cpu_percent: String,
    link_mbps: String,
    memory_mb: String,
    open_files: String,
    intake: RawIntake,
    store_timeout_ms: String,
    role_lease_ms: String,
    hold_max_ms: String,
    stop_max_ms: String,
    reclaim_ms: String,
    evacuate_ms: String,
    config_apply_ms: String,
    far_factor: String,
    keep_ended_s: String,
    drain_delay_ms: String,
    drain_limit_ms: String,
    log: String,
    log_lines_per_s: String,
    policy: Vec<String>,
}

/// Checked settings of one batch daemon.
#[derive(Debug, Clone)]
pub struct BatchSettings {
    /// Name of this VM.
    pub vm: VmId,
    /// Availability zone of this VM.
    pub zone: ZoneId,
    /// Address that serves callers.
    pub listen: SocketAddr,
    /// Address for the load balancer's health checks.
    pub health_listen: SocketAddr,
    /// Address that serves other daemons.
    pub rpc_listen: SocketAddr,
    /// Address at which other daemons reach this one, if that is not the one it listens on.
    pub rpc_advertise: Option<SocketAddr>,
    /// Address that serves metrics as text.
    pub metrics_listen: SocketAddr,
    /// Address of the platform's shared store.
    pub store: SocketAddr,
    /// Address of the adviser, which tells which workers may run a step, for queues that require
    /// its advice.
    pub adviser: Option<SocketAddr>,
    /// CPU of this VM, in percent of a core.
    pub cpu_percent: u32,
    /// Capacity of this VM's network link, in megabits per second.
    pub link_mbps: u32,
    /// Memory of this daemon, in megabytes; 0 if it is not limited.
    pub memory_mb: u32,
    /// Number of files and connections that this daemon may have open; 0 if it is not limited.
    pub open_files: u32,
    /// What callers may hold.
    pub intake: IntakeLimits,
    /// Timeout of a call to the store.
    pub store_timeout: Duration,
    /// Length of the lease on the planner role.
    pub role_lease: Duration,
    /// Time limits and factors of the platform.
    pub bounds: Bounds,
    /// How long new calls are still accepted after a stop was requested.
    pub drain_delay: Duration,
    /// How long open calls may take after the drain delay.
    pub drain_limit: Duration,
    /// Parameters of the planner and of the daemon around it.
    pub policy: Policy,
    /// Log filter.
    pub log: String,
    /// Highest number of log lines of one kind per second.
    pub log_lines_per_s: u32,
}

impl BatchSettings {
    /// Returns the capacity of this VM.
    pub(crate) fn vm_limits(&self) -> VmLimits {
        VmLimits {
            link_bytes_per_s: u64::from(self.link_mbps) * BYTES_PER_MBIT,
            cpu_percent: self.cpu_percent,
            memory_bytes: limit(self.memory_mb, BYTES_PER_MB),
            open_files: limit(self.open_files, 1),
        }
    }
}

/// Returns what was given for a setting, or `default` if that is empty.
fn given_or<'a>(given: &'a str, default: &'a str) -> &'a str {
    if given.is_empty() { default } else { given }
}

/// Returns a limit that is set in units of `unit`, or the largest number if it is 0, which sets none.
fn limit(units: u32, unit: u64) -> u64 {
    match units {
        0 => u64::MAX,
        units => u64::from(units).saturating_mul(unit),
    }
}

macro_rules! flag {
    ($name:literal, $env:literal, $help:literal) => {
        string_option($name, $env, $help).fallback(String::new())
    };
    ($name:literal, $env:literal, $help:literal, $default:literal) => {
        string_option($name, $env, $help).fallback($default.to_owned())
    };
}

#[allow(clippy::too_many_lines, reason = "one statement per flag")]
fn parser() -> OptionParser<RawSettings> {
    let vm = flag!("vm", "STAIRSTALL_VM", "Name of this VM");
    let zone = flag!("zone", "STAIRSTALL_ZONE", "Availability zone of this VM");
    let listen = flag!("listen", "STAIRSTALL_LISTEN", "IP:PORT for callers");
    let health_listen = flag!(
        "health-listen",
        "STAIRSTALL_HEALTH_LISTEN",
        "IP:PORT for the balancer's health checks"
    );
    let rpc_listen = flag!(
        "rpc-listen",
        "STAIRSTALL_RPC_LISTEN",
        "IP:PORT for other daemons"
    );
    let rpc_advertise = flag!(
        "rpc-advertise",
        "STAIRSTALL_RPC_ADVERTISE",
        "IP:PORT at which other daemons reach this one; the one it listens on where nothing is given"
    );
    let metrics_listen = flag!(
        "metrics-listen",
        "STAIRSTALL_METRICS_LISTEN",
        "IP:PORT for figures as text"
    );
    let store = flag!(
        "store",
        "STAIRSTALL_STORE",
        "IP:PORT of the platform's store"
    );
    let adviser = flag!(
        "adviser",
        "STAIRSTALL_ADVISER",
        "IP:PORT of the adviser that gives tickets for starts, where there is one"
    );
    let cpu_percent = flag!(
        "cpu-percent",
        "STAIRSTALL_CPU_PERCENT",
        "Processor of this VM, in percent of a core or, up to 1, as a part of one",
        "100"
    );
    let link_mbps = flag!(
        "link-mbps",
        "STAIRSTALL_LINK_MBPS",
        "Megabits a second that this VM's link carries",
        "1000"
    );
    let memory_mb = flag!(
        "memory-mb",
        "STAIRSTALL_MEMORY_MB",
        "Megabytes of memory that this daemon may use; 0 sets no limit",
        "0"
    );
    let open_files = flag!(
        "open-files",
        "STAIRSTALL_OPEN_FILES",
        "Files and connections that this daemon may have open; 0 sets no limit",
        "0"
    );
    let intake = intake::parser();
    let store_timeout_ms = flag!(
        "store-timeout-ms",
        "STAIRSTALL_STORE_TIMEOUT_MS",
        "Longest call to the store",
        "600"
    );
    let role_lease_ms = flag!(
        "role-lease-ms",
        "STAIRSTALL_ROLE_LEASE_MS",
        "Lease of the planner's role",
        "1000"
    );
    let hold_max_ms = flag!(
        "hold-max-ms",
        "STAIRSTALL_HOLD_MAX_MS",
        "Longest time that a worker runs on without being renewed"
    );
    let stop_max_ms = flag!(
        "stop-max-ms",
        "STAIRSTALL_STOP_MAX_MS",
        "Longest time that a worker takes to stop a task"
    );
    let reclaim_ms = flag!(
        "reclaim-ms",
        "STAIRSTALL_RECLAIM_MS",
        "Within what time a customer's claim on its own share has to begin",
        "2500"
    );
    let evacuate_ms = flag!(
        "evacuate-ms",
        "STAIRSTALL_EVACUATE_MS",
        "Within what time of the operator's word nothing starts in an evacuated zone any more; 5000 where nothing is given"
    );
    let config_apply_ms = flag!(
        "config-apply-ms",
        "STAIRSTALL_CONFIG_APPLY_MS",
        "Within what time of its acknowledgement a configuration is in force; 2000 where nothing is given"
    );
    let far_factor = flag!(
        "far-factor",
        "STAIRSTALL_FAR_FACTOR",
        "How many times as long a task takes away from its rack",
        "3"
    );
    let keep_ended_s = flag!(
        "keep-ended-s",
        "STAIRSTALL_KEEP_ENDED_S",
        "How long an ended job is answered for",
        "120"
    );
    let drain_delay_ms = flag!(
        "drain-delay-ms",
        "STAIRSTALL_DRAIN_DELAY_MS",
        "How long calls are still taken after a stop was asked for",
        "2500"
    );
    let drain_limit_ms = flag!(
        "drain-limit-ms",
        "STAIRSTALL_DRAIN_LIMIT_MS",
        "How long calls in flight may take after that",
        "3000"
    );
    let log = flag!(
        "log",
        "STAIRSTALL_LOG",
        "Log filter, as in 'info' or 'stairstalld=debug'",
        "info"
    );
    let log_lines_per_s = flag!(
        "log-lines-per-s",
        "STAIRSTALL_LOG_LINES_PER_S",
        "Log lines of one kind a second, at most",
        "150"
    );
    let policy = bpaf::long("policy")
        .help("Changes one value of the policy for an experiment, as in reports.shortest_wait=500; may be given several times")
        .argument::<String>("GROUP.FIELD=VALUE")
        .many();
    construct!(RawSettings {
        vm,
        zone,
        listen,
        health_listen,
        rpc_listen,
        rpc_advertise,
        metrics_listen,
        store,
        adviser,
        cpu_percent,
        link_mbps,
        memory_mb,
        open_files,
        intake,
        store_timeout_ms,
        role_lease_ms,
        hold_max_ms,
        stop_max_ms,
        reclaim_ms,
        evacuate_ms,
        config_apply_ms,
        far_factor,
        keep_ended_s,
        drain_delay_ms,
        drain_limit_ms,
        log,
        log_lines_per_s,
        policy,
    })
    .to_options()
    .descr("The stairstall daemon for jobs of steps and tasks on a platform with a shared store")
    .version(env!("CARGO_PKG_VERSION"))
}

impl BatchSettings {
    /// Reads the settings from the flags and environment of this process. `--help` and `--version`
    /// end the process.
    ///
    /// # Errors
    ///
    /// Returns every setting that is not allowed.
    pub fn from_process() -> Result<Self, InvalidSettings> {
        let arguments: Vec<String> = std::env::args().skip(2).collect();
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let raw = parse_command_line(&parser(), Args::from(arguments.as_slice()))?;
        Self::check(&raw)
    }

    /// Reads the settings from arguments, for tests.
    ///
    /// # Errors
    ///
    /// Returns every setting that is not allowed, or why the arguments can't be parsed.
    pub fn from_arguments(arguments: &[&str]) -> Result<Self, InvalidSettings> {
        let raw = parse_arguments(&parser(), arguments)?;
        Self::check(&raw)
    }

    fn check(raw: &RawSettings) -> Result<Self, InvalidSettings> {
        let mut checks = Validator::default();
        let settings = Self::read(raw, &mut checks);
        match settings {
            Some(settings) if checks.0.is_empty() => Ok(settings),
            _ => Err(InvalidSettings(checks.0)),
        }
    }

    /// Parses all settings. Every one is checked before an invalid one makes it return `None`, so
    /// that all errors are reported at once.
    fn read(raw: &RawSettings, checks: &mut Validator) -> Option<Self> {
        let vm = checks.name("--vm", &raw.vm);
        let zone = checks.name("--zone", &raw.zone);
        let listen = checks.address("--listen", &raw.listen);
        let health_listen = checks.address("--health-listen", &raw.health_listen);
        let rpc_listen = checks.address("--rpc-listen", &raw.rpc_listen);
        let rpc_advertise = (!raw.rpc_advertise.is_empty())
            .then(|| checks.address("--rpc-advertise", &raw.rpc_advertise));
        let metrics_listen = checks.address("--metrics-listen", &raw.metrics_listen);
        let store = checks.address("--store", &raw.store);
        let adviser = (!raw.adviser.is_empty()).then(|| checks.address("--adviser", &raw.adviser));
        let cpu_percent = parse_cpu_percent(checks, "--cpu-percent", &raw.cpu_percent);
        let link_mbps = parse_rounded_up(checks, "--link-mbps", &raw.link_mbps);
        let memory_mb = parse_limit(checks, "--memory-mb", &raw.memory_mb);
        let open_files = parse_limit(checks, "--open-files", &raw.open_files);
        let memory_bytes = u64::from(memory_mb.unwrap_or(0)) * BYTES_PER_MB;
        let intake = raw
            .intake
            .read(checks, memory_bytes, open_files.unwrap_or(0).into());
        let store_timeout = checks.millis("--store-timeout-ms", &raw.store_timeout_ms, 10, 10_000);
        let role_lease = checks.millis("--role-lease-ms", &raw.role_lease_ms, 500, 60_000);
        let bounds = Self::read_bounds(raw, checks);
        let drain_delay = checks.millis("--drain-delay-ms", &raw.drain_delay_ms, 0, DAY_MS);
        let log_lines = checks.number("--log-lines-per-s", &raw.log_lines_per_s, 1, 1_000_000);
        let policy = policy::read(&raw.policy, checks);
        let drain_limit = checks.millis("--drain-limit-ms", &raw.drain_limit_ms, 0, DAY_MS);
        Some(Self {
            vm: vm?,
            zone: zone?,
            listen: listen?,
            health_listen: health_listen?,
            rpc_listen: rpc_listen?,
            rpc_advertise: rpc_advertise.flatten(),
            metrics_listen: metrics_listen?,
            store: store?,
            adviser: adviser.flatten(),
            cpu_percent: cpu_percent?,
            link_mbps: link_mbps?,
            memory_mb: memory_mb?,
            open_files: open_files?,
            intake: intake?,
            store_timeout: store_timeout?,
            role_lease: role_lease?,
            bounds: bounds?,
            policy: policy?,
            drain_delay: drain_delay?,
            drain_limit: drain_limit?,
            log: raw.log.clone(),
            log_lines_per_s: u32::try_from(log_lines?).ok()?,
        })
    }

    fn read_bounds(raw: &RawSettings, checks: &mut Validator) -> Option<Bounds> {
        let hold_max = checks.millis("--hold-max-ms", &raw.hold_max_ms, 500, DAY_MS);
        let stop_max = checks.millis("--stop-max-ms", &raw.stop_max_ms, 1, DAY_MS);
        let reclaim = checks.millis("--reclaim-ms", &raw.reclaim_ms, 1, DAY_MS);
        let evacuate_ms = given_or(&raw.evacuate_ms, DEFAULT_EVACUATE_MS);
        let evacuate = checks.millis("--evacuate-ms", evacuate_ms, 500, DAY_MS);
        let config_apply_ms = given_or(&raw.config_apply_ms, DEFAULT_CONFIG_APPLY_MS);
        let config_apply = checks.millis("--config-apply-ms", config_apply_ms, 500, DAY_MS);
        let far_factor = checks.number("--far-factor", &raw.far_factor, 1, 1_000);
        let keep_ended_s = checks.number("--keep-ended-s", &raw.keep_ended_s, 1, DAY_MS);
        Some(Bounds {
            lease_duration: hold_max?,
            stop_max: stop_max?,
            guaranteed_start_limit: reclaim?,
            evacuation_limit: evacuate?,
            configuration_limit: config_apply?,
            far_factor: u32::try_from(far_factor?).ok()?,
            keep_ended: Duration::from_secs(keep_ended_s?),
        })
    }
}

/// Largest allowed CPU share, in percent of a core, link capacity, in megabits per second, memory, in
/// megabytes, and number of open files.
const MAX_CAPACITY: f64 = 1_000_000.0;

/// Parses a positive number as percent; a number up to 1 is a fraction of a core.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "checked to be between 0 and a million"
)]
fn parse_cpu_percent(checks: &mut Validator, flag: &'static str, value: &str) -> Option<u32> {
    let number = parse_positive(checks, flag, value)?;
    let scaled = if number <= 1.0 {
        number * 100.0
    } else {
        number
    };
    Some(scaled.ceil() as u32)
}

/// Parses a positive number and rounds it up.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "checked to be between 0 and a million"
)]
fn parse_rounded_up(checks: &mut Validator, flag: &'static str, value: &str) -> Option<u32> {
    Some(parse_positive(checks, flag, value)?.ceil() as u32)
}

/// Parses a limit: a positive number, rounded up, or 0 for none.
fn parse_limit(checks: &mut Validator, flag: &'static str, value: &str) -> Option<u32> {
    match value {
        "" | "0" => Some(0),
        value => parse_rounded_up(checks, flag, value),
    }
}

fn parse_positive(checks: &mut Validator, flag: &'static str, value: &str) -> Option<f64> {
    let found = value
        .parse::<f64>()
        .ok()
        .filter(|n| *n > 0.0 && *n <= MAX_CAPACITY);
    if found.is_none() {
        checks.0.push(InvalidSetting {
            flag,
            value: value.to_owned(),
            allowed: "a number over 0 and at most a million".to_owned(),
        });
    }
    found
}
