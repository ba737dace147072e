//! Which daemons are alive, told by their heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::protocol::Heartbeat;
use crate::{Timestamp, VmId, ZoneId};

/// The daemons that were heard from, and when.
///
/// The platform's list says where to send heartbeats; only heartbeats say who
/// is alive. A wrong guess costs slots for a while, never a promise: a daemon
/// wrongly taken for dead is still bounded by the minions and fenced by the
/// workers.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    heard: BTreeMap<VmId, (Timestamp, Heartbeat)>,
}

impl MemberTable {
    /// How often daemons of one zone exchange heartbeats.
    pub const INTERVAL: Duration = Duration::from_millis(500);
    /// How long a daemon counts as alive after its last heartbeat, at the least.
    pub const TIMEOUT: Duration = Duration::from_secs(2);
    /// What each daemon of other zones adds to the time between their heartbeats, so
    /// that a daemon's traffic stays bounded as zones are added.
    pub const CROSS_ZONE_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(200);
    /// Shortest time between heartbeats to other zones.
    pub const MIN_CROSS_ZONE_INTERVAL: Duration = Duration::from_secs(1);
    /// Longest such time.
    pub const MAX_CROSS_ZONE_INTERVAL: Duration = Duration::from_secs(6);
    /// So many heartbeats may be missed.
    const MISSED: u32 = 3;
    /// How long a silent daemon is remembered at all.
    const FORGET: Duration = Duration::from_secs(600);

    /// Creates a table in which nobody was heard from.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a heartbeat.
    pub fn handle_heartbeat(&mut self, heartbeat: Heartbeat, now: Timestamp) {
        self.heard
            .insert(heartbeat.daemon.clone(), (now, heartbeat));
        self.heard.retain(|_, (at, _)| now - *at < Self::FORGET);
    }

    /// Returns the time between heartbeats to so many daemons of other zones.
    #[must_use]
    pub fn cross_zone_interval(daemons: usize) -> Duration {
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
        let interval = Self::CROSS_ZONE_INTERVAL_PER_DAEMON.saturating_mul(daemons);
        interval.clamp(Self::MIN_CROSS_ZONE_INTERVAL, Self::MAX_CROSS_ZONE_INTERVAL)
    }

    /// Returns how long ago a daemon was heard, if it ever was.
    #[must_use]
    pub fn time_since_heartbeat(&self, daemon: &VmId, now: Timestamp) -> Option<Duration> {
        self.heard.get(daemon).map(|(at, _)| now - *at)
    }

    /// Iterates over the daemons that are alive at `now`.
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = &Heartbeat> {
        self.heard
            .values()
            .filter(move |(at, h)| now - *at < Self::timeout(h))
            .map(|(_, h)| h)
    }

    fn timeout(heartbeat: &Heartbeat) -> Duration {
        Self::TIMEOUT.max(Duration::from_millis(heartbeat.every_ms) * Self::MISSED)
    }

    /// Returns the live daemons of `zone` that take requests, and `me`.
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

    /// Returns the live daemon that holds placement in `zone`, the newest tenure first.
    #[must_use]
    pub fn holder(&self, zone: &ZoneId, now: Timestamp) -> Option<&Heartbeat> {
        self.live(now)
            .filter(|h| h.zone == *zone && h.token.is_some())
            .max_by_key(|h| h.token)
    }

    /// Tells whether a live daemon of `zone` holds placement under a lease in force.
    ///
    /// A holder that is cut off from the store goes on, but a daemon that
    /// reaches the store may take the role once the lease ended.
    #[must_use]
    pub fn has_confirmed_holder(&self, zone: &ZoneId, now: Timestamp) -> bool {
        self.live(now)
            .any(|h| h.zone == *zone && h.token.is_some() && h.confirmed)
    }

    /// Returns the highest token that any daemon of `zone` was heard to hold.
    #[must_use]
    pub fn highest_token(&self, zone: &ZoneId) -> Option<u64> {
        self.heard
            .values()
            .filter(|(_, h)| h.zone == *zone)
            .filter_map(|(_, h)| h.token)
            .max()
    }

    /// Returns how long no holder of `zone` was heard, if one ever was.
    #[must_use]
    pub fn time_since_holder_heartbeat(&self, zone: &ZoneId, now: Timestamp) -> Option<Duration> {
        self.heard
            .values()
            .filter(|(_, h)| h.zone == *zone && h.token.is_some())
            .map(|(at, _)| now - *at)
            .min()
    }
}
