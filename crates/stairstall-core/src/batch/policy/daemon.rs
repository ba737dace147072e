//! How the daemon round the planner decides.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How a job is accepted, or refused.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AcceptancePolicy {
    /// Longest time to settle a write whose answer was lost, while the store serves other
    /// calls.
    #[serde(with = "super::millis")]
    pub settle_limit: Duration,
    /// The same while nothing else is served either.
    #[serde(with = "super::millis")]
    pub outage_settle_limit: Duration,
    /// Pause between two tries of a write.
    #[serde(rename = "try_again", with = "super::millis")]
    pub retry_pause: Duration,
    /// How long calls to the store must have failed without a success before callers' calls are
    /// answered without asking it.
    #[serde(with = "super::millis")]
    pub silent_after: Duration,
    /// Longest call to another daemon.
    #[serde(with = "super::millis")]
    pub peer_timeout: Duration,
    /// Part of its caller's time that a call may take, so that the answer still arrives.
    #[serde(rename = "answer_share")]
    pub response_time_fraction: f64,
}

impl Default for AcceptancePolicy {
    fn default() -> Self {
        Self {
            settle_limit: Duration::from_secs(1),
            outage_settle_limit: Duration::from_millis(350),
            retry_pause: Duration::from_millis(40),
            silent_after: Duration::from_millis(250),
            peer_timeout: Duration::from_millis(800),
            response_time_fraction: 0.9,
        }
    }
}

/// How a daemon finds out whether it can have work kept, and says so.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReachPolicy {
    /// Whether a daemon that is cut off calls itself not ready.
    pub says_cut_off: bool,
    /// Whether peers that the store serves are asked to pass work on, beside the planner.
    #[serde(rename = "asks_peers")]
    pub probes_peers: bool,
    /// How long the store may be without an answered call before it is asked whether it serves:
    /// with `silent_after`, a silence shows well within a second.
    #[serde(with = "super::millis")]
    pub ping_after: Duration,
    /// How long such a question may be without an answer; above what a store sixty times
    /// slower than usual takes.
    #[serde(with = "super::millis")]
    pub silent_after: Duration,
    /// How often peers are asked while the store does not serve.
    #[serde(rename = "ask_interval", with = "super::millis")]
    pub probe_interval: Duration,
    /// Longest wait for a peer's answer to that.
    #[serde(rename = "ask_timeout", with = "super::millis")]
    pub probe_timeout: Duration,
    /// Peers that are asked at a time.
    #[serde(rename = "asked_at_once")]
    pub peers_per_probe: u16,
    /// How long a peer's answer counts.
    #[serde(with = "super::millis")]
    pub fresh_for: Duration,
    /// Peers that one job is passed on to, in turn.
    #[serde(rename = "max_helpers")]
    pub max_relays: u16,
    /// How often a daemon tells the planner that it is there, at the least; with many daemons less
    /// often.
    #[serde(rename = "introduce_every", with = "super::millis")]
    pub min_introduction_interval: Duration,
    /// Daemons that tell the planner so in a second, over all: with letter 1's 24 daemons these
    /// calls take 8 KB a second of the planner's 21.
    pub introductions_per_s: u16,
    /// A daemon that was not heard of for so many times that pause is introduced to others no more.
    #[serde(rename = "forget_after_pauses")]
    pub forget_after_intervals: u16,
}

impl Default for ReachPolicy {
    fn default() -> Self {
        Self {
            says_cut_off: true,
            probes_peers: true,
            ping_after: Duration::from_millis(250),
            silent_after: Duration::from_millis(350),
            probe_interval: Duration::from_millis(150),
            probe_timeout: Duration::from_millis(250),
            peers_per_probe: 4,
            fresh_for: Duration::from_millis(500),
            max_relays: 2,
            min_introduction_interval: Duration::from_secs(1),
            introductions_per_s: 8,
            forget_after_intervals: 5,
        }
    }
}

/// How the planner's role is taken and kept.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RolePolicy {
    /// Longest time by which daemons put off their tries differently.
    #[serde(rename = "spread", with = "super::millis")]
    pub max_jitter: Duration,
    /// How much longer a VM puts it off that is too weak to plan for many workers.
    #[serde(with = "super::millis")]
    pub weak_delay: Duration,
    /// Processor, in percent of a core, from which a VM is strong.
    pub strong_cpu_percent: u32,
    /// Link, in megabits a second, from which a VM is strong.
    pub strong_link_mbps: u32,
    /// How long a planner that leaves waits for a successor to take the role from it; it plans
    /// on until then. None gives the role up at once.
    #[serde(with = "super::millis")]
    pub handover_wait: Duration,
    /// Renewals within one lease.
    pub renewals_per_lease: u32,
}

impl Default for RolePolicy {
    fn default() -> Self {
        Self {
            max_jitter: Duration::from_millis(60),
            weak_delay: Duration::from_millis(250),
            strong_cpu_percent: 25,
            strong_link_mbps: 100,
            handover_wait: Duration::from_millis(1_500),
            renewals_per_lease: 4,
        }
    }
}

/// How progress is written.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WritePolicy {
    /// How long ends are gathered before they are written together.
    #[serde(rename = "gather", with = "super::millis")]
    pub batch_delay: Duration,
    /// How long a write may be without an answer before the next one is sent beside it.
    #[serde(rename = "overtake_after", with = "super::millis")]
    pub pipeline_after: Duration,
    /// Most writes that are under way at a time.
    #[serde(rename = "max_under_way")]
    pub max_in_flight: u16,
    /// Jobs in one write: the store takes 32 entries, two a job and one for the role.
    pub jobs_per_write: u16,
    /// How long the link may need for all that is being written: well below the time after which
    /// a start counts as unanswered.
    #[serde(with = "super::millis")]
    pub link_window: Duration,
}

impl Default for WritePolicy {
    fn default() -> Self {
        Self {
            batch_delay: Duration::from_millis(3),
            pipeline_after: Duration::from_millis(25),
            max_in_flight: 6,
            jobs_per_write: 15,
            link_window: Duration::from_millis(60),
        }
    }
}

/// How workers are called.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkPolicy {
    /// What a report may take beside the time that the worker was told to wait.
    #[serde(rename = "hold_timeout", with = "super::millis")]
    pub report_timeout: Duration,
    /// Pause after a worker did not answer.
    #[serde(rename = "silent_pause", with = "super::millis")]
    pub pause_after_timeout: Duration,
    /// Longest wait for ends to be written before the worker is asked again.
    #[serde(rename = "write_patience", with = "super::millis")]
    pub write_wait: Duration,
    /// Longest wait for the answer to a start or stop.
    #[serde(with = "super::millis")]
    pub order_timeout: Duration,
    /// How long an order may be without an answer before the next one is sent beside it.
    #[serde(rename = "overtake_after", with = "super::millis")]
    pub pipeline_after: Duration,
}

impl Default for LinkPolicy {
    fn default() -> Self {
        Self {
            report_timeout: Duration::from_millis(500),
            pause_after_timeout: Duration::from_millis(250),
            write_wait: Duration::from_millis(250),
            order_timeout: Duration::from_millis(350),
            pipeline_after: Duration::from_millis(60),
        }
    }
}
