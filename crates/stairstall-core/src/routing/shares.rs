use std::collections::VecDeque;
use std::time::Duration;

use crate::{MinionId, Timestamp, VmId};

/// Computes how many of each minion's slots this daemon may use.
///
/// The slots are divided evenly among the live daemons of the zone; the remainder
/// goes to the daemons that rank first by a hash. When the list of live daemons
/// changes, a smaller share takes effect at once. A larger one takes effect only
/// after [`SlotShares::GAIN_DELAY`], when every daemon that noticed the change has
/// reduced its own share. A daemon that was paused starts again without shares.
///
/// # Examples
///
/// ```
/// use stairstall_core::Timestamp;
/// use stairstall_core::routing::SlotShares;
///
/// let me = "vm-1".parse().unwrap();
/// let mut shares = SlotShares::new(me, Timestamp::from_millis(0));
/// shares.set_members(vec!["vm-1".parse().unwrap()], Timestamp::from_millis(0));
/// let minion = "minion-1".parse().unwrap();
/// assert_eq!(shares.share_of(&minion, 8, Timestamp::from_millis(0)), 0);
/// assert_eq!(shares.share_of(&minion, 8, Timestamp::from_millis(3_000)), 8);
/// ```
#[derive(Debug, Clone)]
pub struct SlotShares {
    me: VmId,
    /// Lists of live daemons that limit the share, oldest first; the last one is current.
    views: VecDeque<View>,
}

/// A list of live daemons of the zone.
#[derive(Debug, Clone)]
struct View {
    members: Vec<VmId>,
    /// When a newer list replaced this one; `None` for the current list.
    replaced_at: Option<Timestamp>,
}

impl SlotShares {
    /// Delay before a larger share takes effect.
    ///
    /// It exceeds [`MemberTable::TIMEOUT`](crate::membership::MemberTable::TIMEOUT), the time that
    /// a silent daemon stays on any list of live daemons.
    pub const GAIN_DELAY: Duration = Duration::from_secs(3);

    /// Creates the shares of the daemon `me`, which are zero until [`SlotShares::GAIN_DELAY`] has
    /// passed.
    #[must_use]
    pub fn new(me: VmId, now: Timestamp) -> Self {
        let mut shares = Self {
            me,
            views: VecDeque::new(),
        };
        shares.suspend(now);
        shares
    }

    /// Sets the list of live daemons of the zone, which includes `me`.
    pub fn set_members(&mut self, mut members: Vec<VmId>, now: Timestamp) {
        members.sort();
        members.dedup();
        if self
            .views
            .back()
            .is_some_and(|view| view.members == members)
        {
            return;
        }
        if let Some(view) = self.views.back_mut() {
            view.replaced_at = Some(now);
        }
        self.views.push_back(View {
            members,
            replaced_at: None,
        });
        self.remove_expired_views(now);
    }

    /// Resets all shares to zero, after a pause of this process in which other daemons may have
    /// taken over its slots.
    pub fn suspend(&mut self, now: Timestamp) {
        let members = self
            .views
            .back()
            .map(|view| view.members.clone())
            .unwrap_or_default();
        self.views.clear();
        self.views.push_back(View {
            members: Vec::new(),
            replaced_at: Some(now),
        });
        self.views.push_back(View {
            members,
            replaced_at: None,
        });
    }

    /// Returns how many of the minion's `slots` this daemon may use at `now`.
    #[must_use]
    pub fn share_of(&self, minion: &MinionId, slots: u16, now: Timestamp) -> u16 {
        self.views
            .iter()
            .filter(|view| view.is_in_effect(now))
            .map(|view| view.share(&self.me, minion, slots))
            .min()
            .unwrap_or(0)
    }

    fn remove_expired_views(&mut self, now: Timestamp) {
        self.views.retain(|view| view.is_in_effect(now));
    }
}

impl View {
    /// Returns whether the list still limits the share at `now`.
    fn is_in_effect(&self, now: Timestamp) -> bool {
        self.replaced_at
            .is_none_or(|at| now < at + SlotShares::GAIN_DELAY)
    }

    fn share(&self, me: &VmId, minion: &MinionId, slots: u16) -> u16 {
        let Ok(count) = u16::try_from(self.members.len()) else {
            return 0;
        };
        if count == 0 || !self.members.contains(me) {
            return 0;
        }
        let own = rank_hash(me, minion);
        let before = self
            .members
            .iter()
            .filter(|m| (rank_hash(m, minion), *m) < (own, me))
            .count();
        let extra = usize::from(slots % count) > before;
        slots / count + u16::from(extra)
    }
}

/// Returns the hash that ranks the daemons for one minion; the same in every build and process.
fn rank_hash(member: &VmId, minion: &MinionId) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(
        member.as_str().as_bytes(),
        xxhash_rust::xxh3::xxh3_64(minion.as_str().as_bytes()),
    )
}
