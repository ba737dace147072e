//! Recent resource usage of each customer, for fair sharing between customers.
//!
//! Usage is counted in milliseconds of the whole fleet: holding a tenth of the fleet for 1 s counts
//! as 100 ms.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::virtual_cost;
use crate::batch::{Resources, SchedulingPolicy};
use crate::{CustomerId, Timestamp};

/// The whole fleet, in millionths.
const WHOLE_FLEET_PPM: u64 = 1_000_000;

/// Usage below which an account is dropped, in milliseconds of the whole fleet; so little makes no
/// difference to the scheduling order.
const NEGLIGIBLE_MS: f64 = 0.5;

/// Total resources of all workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetCapacity {
    cpu_millis: u64,
    memory_mb: u64,
    accelerators: u64,
}

impl FleetCapacity {
    /// Returns the capacity with one more worker.
    #[must_use]
    pub const fn plus(self, capacity: &Resources) -> Self {
        Self {
            cpu_millis: self.cpu_millis + capacity.cpu_millis as u64,
            memory_mb: self.memory_mb + capacity.memory_mb as u64,
            accelerators: self.accelerators + capacity.accelerators as u64,
        }
    }

    /// Returns the dominant share of `tasks` tasks, in millionths: the largest of their shares of
    /// the fleet's CPU, memory and accelerators.
    #[must_use]
    pub fn dominant_share_ppm(&self, per_task: &Resources, tasks: u64) -> u64 {
        let share = |needed: u32, available: u64| {
            let total = u64::from(needed).saturating_mul(tasks);
            total
                .saturating_mul(WHOLE_FLEET_PPM)
                .checked_div(available)
                .unwrap_or(0)
        };
        share(per_task.cpu_millis, self.cpu_millis)
            .max(share(per_task.memory_mb, self.memory_mb))
            .max(share(per_task.accelerators, self.accelerators))
    }
}

/// Usage account of one customer, in milliseconds of the whole fleet.
#[derive(Debug, Clone, Copy, Default)]
struct Account {
    /// Usage up to `at`, decayed to that time.
    used_ms: f64,
    at: Timestamp,
    /// Usage still expected of its running work.
    committed_ms: f64,
}

/// Recent and committed usage of one customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerUsageTotal {
    /// The customer; `None` for all work without a customer.
    pub customer: Option<CustomerId>,
    /// Usage in milliseconds of the whole fleet.
    pub used_ms: u64,
}

/// Recent usage of each customer, decaying with a half-life. Work without a customer shares one
/// account.
#[derive(Debug, Clone, Default)]
pub struct CustomerUsage {
    policy: SchedulingPolicy,
    fleet: FleetCapacity,
    accounts: BTreeMap<Option<CustomerId>, Account>,
    charged_at: Option<Timestamp>,
}

impl CustomerUsage {
    /// Creates an instance without accounts.
    #[must_use]
    pub fn new(policy: SchedulingPolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Begins a new charge interval and clears all commitments. Returns the time since the previous
    /// one began, to be charged to all running work. Returns `None` and changes nothing if it is
    /// too early or fair sharing is switched off.
    pub fn begin_charge_interval(
        &mut self,
        fleet: impl FnOnce() -> FleetCapacity,
        at: Timestamp,
    ) -> Option<Duration> {
        let interval = self
            .charged_at
            .map_or(Duration::ZERO, |charged| at - charged);
        let is_due = self.charged_at.is_none() || interval >= self.policy.usage_interval;
        if !self.policy.fair_share || !is_due {
            return None;
        }
        self.charged_at = Some(at);
        self.fleet = fleet();
        let half_life = self.policy.usage_half_life;
        self.accounts
            .retain(|_, account| account.decayed_ms(half_life, at) >= NEGLIGIBLE_MS);
        for account in self.accounts.values_mut() {
            account.committed_ms = 0.0;
        }
        Some(interval)
    }

    /// Returns the capacity of the fleet at the beginning of the current charge interval.
    #[must_use]
    pub const fn fleet(&self) -> &FleetCapacity {
        &self.fleet
    }

    /// Charges a customer for holding a share of the fleet, in millionths, for some time.
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
        self.drop_least_used();
    }

    /// Adds the usage that is still expected of work that runs or is about to start.
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
        self.drop_least_used();
    }

    /// Returns the recent and committed usage of a customer, in milliseconds of the whole fleet.
    #[must_use]
    pub fn used_ms(&self, customer: Option<&CustomerId>, at: Timestamp) -> u64 {
        let account = self.accounts.get(&customer.cloned());
        let used_ms = account.map_or(0.0, |account| {
            account.decayed_ms(self.policy.usage_half_life, at) + account.committed_ms
        });
        as_whole_ms(used_ms)
    }

    /// Returns the usage level of a customer's next work, in steps of `usage_step`: its usage and
    /// the `before_ms` of its own work that is scheduled first, divided by its weight. 0 if
    /// customers are not compared.
    #[must_use]
    pub fn usage_level(&self, used_ms: u64, before_ms: u64, weight: u32) -> u64 {
        if !self.policy.fair_share {
            return 0;
        }
        let step_ms = crate::time::millis(self.policy.usage_step).max(1);
        virtual_cost(used_ms.saturating_add(before_ms), weight) / step_ms
    }

    /// Returns the usage that tasks would add, in milliseconds of the whole fleet.
    #[must_use]
    pub fn cost_ms(&self, per_task: &Resources, tasks: u64, run_time: Duration) -> u64 {
        let share_ppm = self.fleet.dominant_share_ppm(per_task, tasks);
        as_whole_ms(fleet_ms(share_ppm, run_time))
    }

    /// Returns the mean usage of all customers with an account, in milliseconds of the whole fleet.
    #[must_use]
    pub fn mean_used_ms(&self, at: Timestamp) -> u64 {
        let customers = self.accounts.keys();
        let sum: u64 = customers
            .map(|customer| self.used_ms(customer.as_ref(), at))
            .fold(0, u64::saturating_add);
        sum.checked_div(self.accounts.len() as u64).unwrap_or(0)
    }

    /// Returns the customers with the highest usage, highest first, at most `max`.
    #[must_use]
    pub fn top_customers(&self, max: usize, at: Timestamp) -> Vec<CustomerUsageTotal> {
        let customers = self.accounts.keys().cloned();
        let mut totals: Vec<CustomerUsageTotal> = customers
            .map(|customer| CustomerUsageTotal {
                used_ms: self.used_ms(customer.as_ref(), at),
                customer,
            })
            .collect();
        totals.sort_by(|a, b| (b.used_ms, &a.customer).cmp(&(a.used_ms, &b.customer)));
        totals.truncate(max);
        totals
    }

    /// Returns the number of accounts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether there are no accounts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the policy in use.
    #[must_use]
    pub const fn policy(&self) -> &SchedulingPolicy {
        &self.policy
    }

    fn account(&mut self, customer: Option<&CustomerId>) -> &mut Account {
        self.accounts.entry(customer.cloned()).or_default()
    }

    /// Bounds the number of accounts by dropping the one with the least usage, which distorts the
    /// comparison least.
    fn drop_least_used(&mut self) {
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
        let half_lives = (at - self.at).as_secs_f64() / half_life.as_secs_f64().max(0.001);
        self.used_ms * (-half_lives).exp2()
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "shares and times of work are far below 2^52"
)]
fn fleet_ms(share_ppm: u64, held: Duration) -> f64 {
    share_ppm as f64 / WHOLE_FLEET_PPM as f64 * held.as_secs_f64() * 1_000.0
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "usage is never negative"
)]
const fn as_whole_ms(ms: f64) -> u64 {
    ms as u64
}
