//! Failure detection: which daemons are alive, judged by their heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::protocol::Heartbeat;
use crate::{Timestamp, VmId, ZoneId};

/// The last heartbeat of each daemon, and when it was received.
///
/// The platform's VM list determines where heartbeats are sent; only received
/// heartbeats determine which daemons are alive. A wrong judgement leaves slots
/// unused for a while but violates no guarantee: if a live daemon is considered
/// dead, the minions still limit its requests and the workers fence its orders.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    heartbeats: BTreeMap<VmId, (Timestamp, Heartbeat)>,
}

impl MemberTable {
    /// Interval between the heartbeats of a daemon within its zone.
    pub const INTERVAL: Duration = Duration::from_millis(500);
    /// Minimum time that a daemon is considered alive after its last heartbeat.
    pub const TIMEOUT: Duration = Duration::from_secs(2);
    /// Time that each daemon of another zone adds to the interval between heartbeats to other
    /// zones, so that the traffic of a daemon stays bounded as zones are added.
    pub const CROSS_ZONE_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(200);
    /// Shortest interval between heartbeats to other zones.
    pub const MIN_CROSS_ZONE_INTERVAL: Duration = Duration::from_secs(1);
    /// Longest interval between heartbeats to other zones.
    pub const MAX_CROSS_ZONE_INTERVAL: Duration = Duration::from_secs(6);
    /// A daemon is considered alive for this many of its announced heartbeat intervals, but at
    /// least for [`MemberTable::TIMEOUT`].
    const TIMEOUT_INTERVALS: u32 = 3;
    /// How long the last heartbeat of a silent daemon is retained.
    const RETENTION: Duration = Duration::from_secs(600);

    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a heartbeat received at `now`, and removes entries past the retention time.
    pub fn handle_heartbeat(&mut self, heartbeat: Heartbeat, now: Timestamp) {
        self.heartbeats
            .insert(heartbeat.daemon.clone(), (now, heartbeat));
        self.heartbeats
            .retain(|_, (at, _)| now - *at < Self::RETENTION);
    }

    /// Returns the interval between heartbeats to other zones, which have `daemons` daemons in all.
    #[must_use]
    pub fn cross_zone_interval(daemons: usize) -> Duration {
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
        let interval = Self::CROSS_ZONE_INTERVAL_PER_DAEMON.saturating_mul(daemons);
        interval.clamp(Self::MIN_CROSS_ZONE_INTERVAL, Self::MAX_CROSS_ZONE_INTERVAL)
    }

    /// Returns how long ago the last heartbeat of a daemon was received, if any is retained.
    #[must_use]
    pub fn time_since_heartbeat(&self, daemon: &VmId, now: Timestamp) -> Option<Duration> {
        self.heartbeats.get(daemon).map(|(at, _)| now - *at)
    }

    /// Iterates over the last heartbeats of the daemons that are alive at `now`.
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = &Heartbeat> {
        self.heartbeats
            .values()
            .filter(move |(at, h)| now - *at < Self::timeout(h))
            .map(|(_, h)| h)
    }

    fn timeout(heartbeat: &Heartbeat) -> Duration {
        Self::TIMEOUT.max(Duration::from_millis(heartbeat.every_ms) * Self::TIMEOUT_INTERVALS)
    }

    /// Returns the live daemons of `zone`, including `me`, sorted by name.
    #[must_use]
    pub fn in_zone(&self, zone: &ZoneId, me: &VmId, now: Timestamp) -> Vec<VmId> {
        let mut members: Vec<VmId> = self
            .live(now)
            .filter(|h| h.zone == *zone)
            .map(|h| h.daemon.clone())
            .collect();
        members.push(me.clone());
        members.sort();
        members.dedup();
        members
    }

    /// Returns the heartbeat of the live daemon that holds the placement role in `zone`.
    ///
    /// If several daemons report that they hold it, the one with the highest fencing token counts.
    #[must_use]
    pub fn holder(&self, zone: &ZoneId, now: Timestamp) -> Option<&Heartbeat> {
        self.live(now)
            .filter(|h| h.zone == *zone && h.token.is_some())
            .max_by_key(|h| h.token)
    }

    /// Returns whether a live daemon of `zone` holds the placement role under a valid lease.
    ///
    /// A holder without access to the store keeps working, but a daemon that can
    /// reach the store may acquire the role once the holder's lease has expired.
    #[must_use]
    pub fn has_confirmed_holder(&self, zone: &ZoneId, now: Timestamp) -> bool {
        self.live(now)
            .any(|h| h.zone == *zone && h.token.is_some() && h.confirmed)
    }

    /// Returns the highest fencing token in the retained heartbeats of `zone`.
    #[must_use]
    pub fn highest_token(&self, zone: &ZoneId) -> Option<u64> {
        self.heartbeats
            .values()
            .filter(|(_, h)| h.zone == *zone)
            .filter_map(|(_, h)| h.token)
            .max()
    }

    /// Returns how long ago the last heartbeat of a placement holder of `zone` was received, if any
    /// is retained.
    #[must_use]
    pub fn time_since_holder_heartbeat(&self, zone: &ZoneId, now: Timestamp) -> Option<Duration> {
        self.heartbeats
            .values()
            .filter(|(_, h)| h.zone == *zone && h.token.is_some())
            .map(|(at, _)| now - *at)
            .min()
    }
}
