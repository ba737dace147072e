//! What each customer has used lately.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::virtual_cost;
use crate::batch::{Resources, TurnPolicy};
use crate::{CustomerId, Timestamp};

/// A whole fleet, in millionths.
const WHOLE_PPM: u64 = 1_000_000;

/// Use that makes no difference any more, in milliseconds of the whole fleet.
const FORGOTTEN_MS: f64 = 0.5;

/// What all workers have together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetCapacity {
    cpu_millis: u64,
    memory_mb: u64,
    accelerators: u64,
}

impl FleetCapacity {
    /// Adds a worker.
    #[must_use]
    pub const fn plus(self, capacity: &Resources) -> Self {
        Self {
            cpu_millis: self.cpu_millis + capacity.cpu_millis as u64,
            memory_mb: self.memory_mb + capacity.memory_mb as u64,
            accelerators: self.accelerators + capacity.accelerators as u64,
        }
    }

    /// Returns the dominant share of `tasks` tasks: the largest of what they take of processors, memory
    /// and accelerators, in millionths of the fleet.
    #[must_use]
    pub fn dominant_share_ppm(&self, room: &Resources, tasks: u64) -> u64 {
        let share = |need: u32, has: u64| {
            let taken = u64::from(need).saturating_mul(tasks);
            taken
                .saturating_mul(WHOLE_PPM)
                .checked_div(has)
                .unwrap_or(0)
        };
        share(room.cpu_millis, self.cpu_millis)
            .max(share(room.memory_mb, self.memory_mb))
            .max(share(room.accelerators, self.accelerators))
    }
}

/// One customer's account, in milliseconds of the whole fleet.
#[derive(Debug, Clone, Copy, Default)]
struct Account {
    /// What was used up to `at`, with the decay up to then.
    used_ms: f64,
    at: Timestamp,
    /// What its running work still takes.
    committed_ms: f64,
}

/// What one customer has used lately and is committed to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerUsageTotal {
    /// The customer; none for all that is nobody's.
    pub customer: Option<CustomerId>,
    /// As time of the whole fleet, in milliseconds.
    pub used_ms: u64,
}

/// What each customer has used lately; who has no customer stands together.
#[derive(Debug, Clone, Default)]
pub struct CustomerUsage {
    policy: TurnPolicy,
    fleet: FleetCapacity,
    accounts: BTreeMap<Option<CustomerId>, Account>,
    charged_at: Option<Timestamp>,
}

impl CustomerUsage {
    /// Creates the account of a planner that has seen nobody.
    #[must_use]
    pub fn new(policy: TurnPolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Begins a new charge of all that runs; returns for how long it is, or none where it is too soon.
    pub fn begin_charge_interval(
        &mut self,
        fleet: impl FnOnce() -> FleetCapacity,
        at: Timestamp,
    ) -> Option<Duration> {
        let held = self
            .charged_at
            .map_or(Duration::ZERO, |charged| at - charged);
        let is_due = self.charged_at.is_none() || held >= self.policy.usage_interval;
        if !self.policy.fair_share || !is_due {
            return None;
        }
        self.charged_at = Some(at);
        self.fleet = fleet();
        let half_life = self.policy.usage_half_life;
        self.accounts
            .retain(|_, account| account.decayed_ms(half_life, at) >= FORGOTTEN_MS);
        for account in self.accounts.values_mut() {
            account.committed_ms = 0.0;
        }
        Some(held)
    }

    /// Returns the fleet as it was at the last charge.
    #[must_use]
    pub const fn fleet(&self) -> &FleetCapacity {
        &self.fleet
    }

    /// Adds what a customer holds, in millionths of the fleet, for a time.
    pub fn charge(
        &mut self,
        customer: Option<&CustomerId>,
        share_ppm: u64,
        held: Duration,
        at: Timestamp,
    ) {
        let half_life = self.policy.usage_half_life;
        let account = self.account(customer);
        account.used_ms = account.decayed_ms(half_life, at) + fleet_ms(share_ppm, held);
        account.at = at;
        self.forget_least_used();
    }

    /// Adds what work that runs, or is about to, will still take.
    pub fn add_commitment(
        &mut self,
        customer: Option<&CustomerId>,
        share_ppm: u64,
        left: Duration,
    ) {
        if !self.policy.fair_share {
            return;
        }
        self.account(customer).committed_ms += fleet_ms(share_ppm, left);
        self.forget_least_used();
    }

    /// Returns what a customer has used lately and is committed to, in milliseconds of the whole fleet.
    #[must_use]
    pub fn used_ms(&self, customer: Option<&CustomerId>, at: Timestamp) -> u64 {
        let account = self.accounts.get(&customer.cloned());
        let used = account.map_or(0.0, |account| {
            account.decayed_ms(self.policy.usage_half_life, at) + account.committed_ms
        });
        whole(used)
    }

    /// Returns in which step of use a customer's next work would be, where `before_ms` of its own
    /// stands before that; 0 where customers are not compared.
    #[must_use]
    pub fn usage_level(&self, used_ms: u64, before_ms: u64, weight: u32) -> u64 {
        if !self.policy.fair_share {
            return 0;
        }
        let step_ms = crate::time::millis(self.policy.usage_step).max(1);
        virtual_cost(used_ms.saturating_add(before_ms), weight) / step_ms
    }

    /// Returns what work would take, in milliseconds of the whole fleet.
    #[must_use]
    pub fn cost_ms(&self, room: &Resources, tasks: u64, takes: Duration) -> u64 {
        whole(fleet_ms(self.fleet.dominant_share_ppm(room, tasks), takes))
    }

    /// Returns what each customer would have used by now if all had used alike, in milliseconds of
    /// the whole fleet.
    #[must_use]
    pub fn mean_used_ms(&self, at: Timestamp) -> u64 {
        let customers = self.accounts.keys();
        let sum: u64 = customers
            .map(|customer| self.used_ms(customer.as_ref(), at))
            .sum();
        sum.checked_div(self.accounts.len() as u64).unwrap_or(0)
    }

    /// Returns the customers that have used most, the first of them first.
    #[must_use]
    pub fn top_customers(&self, most: usize, at: Timestamp) -> Vec<CustomerUsageTotal> {
        let customers = self.accounts.keys().cloned();
        let mut uses: Vec<CustomerUsageTotal> = customers
            .map(|customer| CustomerUsageTotal {
                used_ms: self.used_ms(customer.as_ref(), at),
                customer,
            })
            .collect();
        uses.sort_by(|a, b| (b.used_ms, &a.customer).cmp(&(a.used_ms, &b.customer)));
        uses.truncate(most);
        uses
    }

    /// Returns how many accounts are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Tells whether nobody has used anything.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the policy.
    #[must_use]
    pub const fn policy(&self) -> &TurnPolicy {
        &self.policy
    }

    fn account(&mut self, customer: Option<&CustomerId>) -> &mut Account {
        self.accounts.entry(customer.cloned()).or_default()
    }

    /// Keeps the accounts bounded: to forget the least used one changes least.
    fn forget_least_used(&mut self) {
        if self.accounts.len() <= self.policy.max_customers as usize {
            return;
        }
        let total = |account: &Account| account.used_ms + account.committed_ms;
        let least = self
            .accounts
            .iter()
            .min_by(|a, b| total(a.1).total_cmp(&total(b.1)));
        let least = least.map(|(customer, _)| customer.clone());
        if let Some(customer) = least {
            self.accounts.remove(&customer);
        }
    }
}

impl Account {
    fn decayed_ms(&self, half_life: Duration, at: Timestamp) -> f64 {
        let halvings = (at - self.at).as_secs_f64() / half_life.as_secs_f64().max(0.001);
        self.used_ms * (-halvings).exp2()
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "shares and times of work are far below 2^52"
)]
fn fleet_ms(share_ppm: u64, held: Duration) -> f64 {
    share_ppm as f64 / WHOLE_PPM as f64 * held.as_secs_f64() * 1_000.0
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "it is not negative"
)]
const fn whole(ms: f64) -> u64 {
    ms as u64
}
