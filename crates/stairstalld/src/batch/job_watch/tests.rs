//! Loading of many stored jobs by a new planner.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::poll;
use serde::Serialize;
use stairstall_core::batch::{AcceptedJob, BatchSpec, Progress, Queue, Resources, StepSpec};
use stairstall_core::claim::Mark;
use stairstall_core::{Lease, Timestamp};
use stairstall_http::HttpClient;
use stairstall_platform::{PlatformDialect, PlatformStore, PlatformWorkers};
use stairstall_ports::{Item, LeaseId, Revision};

use super::super::encoding;
use super::super::node::{Node, PlannerRecord};
use super::super::role::AcquiredRole;
use super::super::settings::BatchSettings;
use super::super::tenure::Tenure;
use super::{StoredJobs, load};
use crate::keys;

/// More jobs than a large site has open.
const JOBS: usize = 1_000;
/// Number of jobs that may be handled before other tasks run.
const MAX_JOBS_PER_TURN: usize = 50;
/// How often each job is handled: its progress, its record and the planner's copy of it.
const STAGES: usize = 3;

fn build_node() -> Node {
    let local = "127.0.0.1:0";
    let settings = BatchSettings::from_arguments(&[
        "--vm",
        "vm-0",
        "--zone",
        "zone-a",
        "--listen",
        local,
        "--health-listen",
        local,
        "--rpc-listen",
        local,
        "--metrics-listen",
        local,
        "--store",
        local,
        "--hold-max-ms",
        "3000",
        "--stop-max-ms",
        "100",
    ]);
    let settings = settings.expect("valid settings");
    let http = HttpClient::new(Duration::from_millis(300), 4);
    let store = PlatformStore::new(http.clone(), local.to_owned(), settings.store_timeout);
    Node::new(
        settings,
        Arc::new(store),
        Arc::new(PlatformWorkers::new(http)),
        Arc::new(PlatformDialect),
        None,
    )
}

fn acquired_role() -> AcquiredRole {
    let record = PlannerRecord {
        vm: "vm-0".parse().expect("an id"),
        rpc: "127.0.0.1:1".to_owned(),
        token: 1,
        mark: mark(),
    };
    AcquiredRole {
        record,
        revision: Revision(1),
        lease_id: LeaseId(1),
        lease: Lease::new(Timestamp::from_millis(0), Duration::from_secs(3_600)),
    }
}

fn mark() -> Mark {
    Mark::new("vm-0".parse().expect("an id"), 1, 1)
}

fn item(key: String, value: &impl Serialize) -> Item {
    Item {
        key,
        value: encoding::encode(value).expect("a value"),
        revision: Revision(2),
        created: Revision(2),
    }
}

fn accepted_job(number: usize) -> AcceptedJob {
    AcceptedJob {
        id: format!("{number:016}").parse().expect("an id"),
        customer: Some("mesa".parse().expect("an id")),
        queue: Queue {
            name: "q0".to_owned(),
            service: "desk".parse().expect("an id"),
            priority: 0,
            attempts: 2,
            stretch: 2.0,
            target_ms: 500,
            ticket_valid_ms: None,
        },
        accepted_unix_ms: 1_800_000_000_000,
        spec: BatchSpec {
            payload: "ms=100".to_owned(),
            steps: vec![StepSpec {
                count: 2,
                needs: Resources::new(1_000, 500, 1),
                estimate_ms: 200,
                ..StepSpec::default()
            }],
            schedule: None,
        },
        mark: mark(),
        zone: None,
        first_requested_unix_ms: None,
    }
}

/// Returns the record of a job and its progress.
fn stored_job(number: usize) -> (Item, Item) {
    let job = accepted_job(number);
    let progress = item(keys::batch_progress(&job.id), &Progress::default());
    (item(keys::batch_job(&job.id), &job), progress)
}

/// Guards against a planner that loses its role while it loads: the renewal of its lease runs on the
/// thread that handles the stored jobs.
#[tokio::test]
async fn other_tasks_run_while_many_jobs_are_loaded() {
    let node = build_node();
    let tenure = Tenure::new(&node, &acquired_role());
    let (jobs, progress) = (0..JOBS).map(stored_job).unzip();
    let stored = StoredJobs {
        learned: None,
        jobs,
        progress,
        at: Revision(3),
    };
    let mut turns = 0;
    let mut loading = pin!(load(stored, &tenure));
    while poll!(loading.as_mut()).is_pending() {
        turns += 1;
        tokio::task::yield_now().await;
    }
    let (open, _) = tenure.load_counts();
    assert_eq!(open, JOBS);
    assert!(turns >= STAGES * JOBS / MAX_JOBS_PER_TURN, "{turns} turns");
}
