//! Applies the scheduler's effects, publishes the zone's load and replies to queries.

use std::time::Duration;

use stairstall_core::Timestamp;
use stairstall_core::placement::{DecisionKind, Effect, WriteResult};
use stairstall_core::protocol::{GuaranteeCheckReply, PlacementLoad};

use super::Tenure;
use crate::daemon::{Role, lock};
use crate::holder::Query;
use crate::holder::records::Write;

/// How often the zone's load is published.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

impl Tenure {
    /// Applies one effect of the scheduler.
    pub(super) fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Write {
                id,
                job,
                state,
                saved_ms,
                started,
                crashes,
            } => {
                if self.lease.is_some() {
                    self.records.write(Write {
                        id,
                        job,
                        state,
                        saved_ms,
                        started,
                        crashes,
                    });
                } else {
                    self.scheduler
                        .handle_write_result(&job, id, WriteResult::Unreachable);
                }
            }
            Effect::StoreHomes(homes) => {
                if self.lease.is_some() {
                    self.records.write_homes(homes);
                }
            }
            Effect::LogDecision(decision) => {
                self.daemon.metrics.count(match decision.kind {
                    DecisionKind::Placed => "placement.placed",
                    DecisionKind::Waiting => "placement.waits",
                    DecisionKind::Preempted => "placement.gives_way",
                    DecisionKind::Stopped => "placement.stopped",
                    DecisionKind::Ended => "placement.over",
                    DecisionKind::TakenOver => "placement.taken_over",
                });
                log::info!(target: "decision", job:% = decision.job, kind:% = decision.kind,
                    zone:% = self.daemon.settings.zone, token = self.scheduler.token();
                    "{}", decision.text);
            }
            Effect::Alarm(text) => {
                self.daemon.metrics.count("placement.alarm");
                log::error!(target: "alarm", zone:% = self.daemon.settings.zone; "{text}");
            }
        }
    }

    /// Publishes the zone's load to the rest of the daemon and as metrics.
    pub(super) fn publish(&mut self, now: Timestamp) {
        let is_published = lock(&self.daemon.role).token == Some(self.scheduler.token());
        if is_published && now - self.published_at < LOAD_INTERVAL {
            return;
        }
        self.published_at = now;
        let (fragmentation, summary) = (self.scheduler.fragmentation(), self.scheduler.summary());
        let load = PlacementLoad {
            free_accelerators: fragmentation.free,
            total_accelerators: fragmentation.total,
            waiting_jobs: u32::try_from(summary.waiting).unwrap_or(u32::MAX),
            unusable_accelerators: fragmentation.unusable,
            lost_accelerators: fragmentation.unusable_by_waiting,
            largest_free: fragmentation.largest_free,
        };
        let confirmed = self.lease.is_some_and(|role| role.lease.is_valid(now));
        let token = Some(self.scheduler.token());
        *lock(&self.daemon.role) = Role {
            token,
            confirmed,
            load,
        };
        let metrics = &self.daemon.metrics;
        metrics.gauge("placement.waiting", summary.waiting as u64);
        metrics.gauge("placement.running", summary.running as u64);
        metrics.gauge(
            "placement.broken_guarantees",
            summary.broken_guarantees as u64,
        );
        metrics.gauge("placement.free_accelerators", u64::from(fragmentation.free));
        metrics.gauge(
            "placement.unusable_accelerators",
            u64::from(fragmentation.unusable),
        );
    }

    /// Replies to a query of another module or a peer.
    pub(super) fn reply_to(&self, query: Query) {
        match query {
            Query::CheckGuarantees { request, reply } => {
                let result = match self.scheduler.check_guarantees(&request.guarantees) {
                    Ok(()) => GuaranteeCheckReply::Kept,
                    Err(error) => GuaranteeCheckReply::NotKept {
                        reason: error.to_string(),
                    },
                };
                let _ = reply.send(result);
            }
            Query::Explain { job, reply } => {
                let _ = reply.send(self.scheduler.explain(&job, self.daemon.clock.now()));
            }
        }
    }
}
