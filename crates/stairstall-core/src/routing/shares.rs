use std::collections::VecDeque;
use std::time::Duration;

use crate::{MinionId, Timestamp, VmId};

/// How many of a minion's slots this daemon may use.
///
/// The slots are divided by the list of live daemons of the zone; a remainder
/// goes by rank of a hash. A share shrinks at once when the list changes, and
/// grows only after [`SlotShares::GAIN_DELAY`], when every daemon that heard the
/// news has shrunk its own. A daemon that was paused starts again from nothing.
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
    /// Lists with the time each was replaced; the last one is in force.
    views: VecDeque<View>,
}

#[derive(Debug, Clone)]
struct View {
    members: Vec<VmId>,
    replaced_at: Option<Timestamp>,
}

impl SlotShares {
    /// How long a larger share waits: longer than a silent member stays on any list.
    pub const GAIN_DELAY: Duration = Duration::from_secs(3);

    /// Creates the shares of the daemon `me`, none at first.
    #[must_use]
    pub fn new(me: VmId, now: Timestamp) -> Self {
        let mut shares = Self {
            me,
            views: VecDeque::new(),
        };
        shares.suspend(now);
        shares
    }

    /// Takes the list of live daemons of the zone, `me` among them.
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
        self.forget_old(now);
    }

    /// Gives up every share after a pause in which the others may have taken them.
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

    /// Returns how many of the minion's `slots` may be used at `now`.
    #[must_use]
    pub fn share_of(&self, minion: &MinionId, slots: u16, now: Timestamp) -> u16 {
        self.views
            .iter()
            .filter(|view| view.in_force(now))
            .map(|view| view.share(&self.me, minion, slots))
            .min()
            .unwrap_or(0)
    }

    fn forget_old(&mut self, now: Timestamp) {
        self.views.retain(|view| view.in_force(now));
    }
}

impl View {
    /// Tells whether the list still bounds the share at `now`.
    fn in_force(&self, now: Timestamp) -> bool {
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

/// Ranks the daemons for one minion; equal in every build and process.
fn rank_hash(member: &VmId, minion: &MinionId) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(
        member.as_str().as_bytes(),
        xxhash_rust::xxh3::xxh3_64(minion.as_str().as_bytes()),
    )
}
