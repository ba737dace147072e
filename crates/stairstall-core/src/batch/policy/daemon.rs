//! Settings of the daemon that runs the planner: storing jobs, peers, the planner role and calls to
//! workers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Storing submitted jobs and refusals.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AcceptancePolicy {
    /// Time limit for finding out whether a write whose answer was lost has taken effect, while the
    /// store serves other calls.
    #[serde(with = "super::millis")]
    pub settle_limit: Duration,
    /// Time limit for finding out whether a write whose answer was lost has taken effect, while the
    /// store serves no calls.
    #[serde(with = "super::millis")]
    pub outage_settle_limit: Duration,
    /// Pause between two attempts of a write.
    #[serde(rename = "try_again", with = "super::millis")]
    pub retry_pause: Duration,
    /// How long calls to the store must have failed without a success before callers are answered
    /// without asking the store.
    #[serde(with = "super::millis")]
    pub silent_after: Duration,
    /// Timeout of a call to another daemon.
    #[serde(with = "super::millis")]
    pub peer_timeout: Duration,
    /// Fraction of the caller's timeout that a call may take, so that the answer still arrives in
    /// time.
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

/// Detection of an unavailable store, and relaying work to peers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerPolicy {
    /// Whether a daemon that is cut off reports itself as not ready.
    #[serde(rename = "says_cut_off")]
    pub unready_when_cut_off: bool,
    /// Whether work may be relayed to peers that the store serves, rather than to the planner only.
    #[serde(rename = "asks_peers")]
    pub probes_peers: bool,
    /// How long no call to the store must have been answered before the store is pinged. Together
    /// with `silent_after`, an unresponsive store is noticed well within a second.
    #[serde(with = "super::millis")]
    pub ping_after: Duration,
    /// How long a ping may be unanswered before the store counts as unavailable. A store that is
    /// sixty times slower than usual still answers within this time.
    #[serde(with = "super::millis")]
    pub silent_after: Duration,
    /// Interval between probes of peers while the store does not serve this daemon.
    #[serde(rename = "ask_interval", with = "super::millis")]
    pub probe_interval: Duration,
    /// Timeout of a probe.
    #[serde(rename = "ask_timeout", with = "super::millis")]
    pub probe_timeout: Duration,
    /// Number of peers probed at a time.
    #[serde(rename = "asked_at_once")]
    pub peers_per_probe: u16,
    /// How long a peer's answer is relied on.
    #[serde(with = "super::millis")]
    pub fresh_for: Duration,
    /// Maximum number of peers that one job is relayed to, one after the other, and that the
    /// planner role is offered to.
    #[serde(rename = "max_helpers")]
    pub max_relays: u16,
    /// Shortest interval at which a daemon introduces itself to the planner. The interval grows
    /// with the number of daemons.
    #[serde(rename = "introduce_every", with = "super::millis")]
    pub min_introduction_interval: Duration,
    /// Number of introductions per second that the planner receives from all daemons together. With
    /// 24 daemons these calls take 8 KB/s of the planner's 21 KB/s.
    pub introductions_per_s: u16,
    /// A daemon that was not heard of for this many introduction intervals is no longer introduced
    /// to others.
    #[serde(rename = "forget_after_pauses")]
    pub forget_after_intervals: u16,
}

impl Default for PeerPolicy {
    fn default() -> Self {
        Self {
            unready_when_cut_off: true,
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

/// Acquiring and handing over the planner role.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RolePolicy {
    /// Longest random delay before a daemon tries to acquire the role, so that not all try at once.
    #[serde(rename = "spread", with = "super::millis")]
    pub max_jitter: Duration,
    /// Additional delay of a daemon on a VM that is too weak to plan for many workers, multiplied
    /// by the VM's capacity shortfall.
    #[serde(with = "super::millis")]
    pub weak_delay: Duration,
    /// CPU, in percent of a core, from which a VM counts as strong.
    pub strong_cpu_percent: u32,
    /// Bandwidth, in Mbit/s, from which a VM counts as strong.
    pub strong_link_mbps: u32,
    /// How long a planner whose daemon is shutting down waits for a successor to acquire the role.
    /// It continues planning until then. Zero releases the role at once.
    #[serde(with = "super::millis")]
    pub handover_wait: Duration,
    /// Number of renewals within one lease.
    pub renewals_per_lease: u32,
    /// How long a planner plans at least before it offers the role to a daemon on a stronger VM.
    #[serde(with = "super::millis")]
    pub min_tenure: Duration,
    /// The same for a planner on a VM that was announced strong and whose process is measured to be
    /// late. Well above the time that a handover costs, since load may make every planner late.
    #[serde(with = "super::millis")]
    pub late_min_tenure: Duration,
    /// How long a daemon must have been running before it accepts the role from a planner that goes
    /// on without it.
    #[serde(with = "super::millis")]
    pub min_uptime: Duration,
    /// Shortest time between two offers of a planner that is not leaving.
    #[serde(with = "super::millis")]
    pub offer_interval: Duration,
    /// From which lateness a measurement of the daemon's process counts as late.
    #[serde(with = "super::millis")]
    pub late_from: Duration,
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
            min_tenure: Duration::from_secs(4),
            late_min_tenure: Duration::from_secs(20),
            min_uptime: Duration::from_secs(3),
            offer_interval: Duration::from_secs(2),
            late_from: Duration::from_millis(50),
        }
    }
}

/// Writes of job progress to the store.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WritePolicy {
    /// How long run ends are collected before they are written together.
    #[serde(rename = "gather", with = "super::millis")]
    pub batch_delay: Duration,
    /// How long a write may be unanswered before the next one is sent concurrently.
    #[serde(rename = "overtake_after", with = "super::millis")]
    pub pipeline_after: Duration,
    /// Maximum number of concurrent writes.
    #[serde(rename = "max_under_way")]
    pub max_in_flight: u16,
    /// Maximum number of jobs in one write. The store accepts 32 entries: two per job and one for
    /// the planner role.
    pub jobs_per_write: u16,
    /// Maximum time that the link needs to transfer all writes in flight. Well below the time after
    /// which a start counts as unanswered.
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

/// Calls to workers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkPolicy {
    /// Timeout of a report in addition to the time that the worker was told to wait.
    #[serde(rename = "hold_timeout", with = "super::millis")]
    pub report_timeout: Duration,
    /// Pause after a worker failed to answer.
    #[serde(rename = "silent_pause", with = "super::millis")]
    pub pause_after_timeout: Duration,
    /// How long to wait at most for run ends to be stored before the worker is polled again.
    #[serde(rename = "write_patience", with = "super::millis")]
    pub write_wait: Duration,
    /// The same for a worker that is leaving, whose last run ends must be heard before it is gone.
    #[serde(with = "super::millis")]
    pub leaving_write_wait: Duration,
    /// Timeout of a start or stop order.
    #[serde(with = "super::millis")]
    pub order_timeout: Duration,
    /// How long an order may be unanswered before the next one is sent concurrently.
    #[serde(rename = "overtake_after", with = "super::millis")]
    pub pipeline_after: Duration,
}

impl Default for LinkPolicy {
    fn default() -> Self {
        Self {
            report_timeout: Duration::from_millis(500),
            pause_after_timeout: Duration::from_millis(250),
            write_wait: Duration::from_millis(250),
            leaving_write_wait: Duration::from_millis(75),
            order_timeout: Duration::from_millis(350),
            pipeline_after: Duration::from_millis(60),
        }
    }
}
