//! Jobs, queues and workers for tests.

use std::collections::BTreeSet;
use std::time::Duration;

use stairstall_core::batch::{
    AcceptedJob, BatchSpec, Bounds, Catalog, Customer, ListedWorker, Queue, Resources, Route,
    StepSpec, TaskKey,
};
use stairstall_core::claim::Mark;
use stairstall_core::{CustomerId, JobId};

use super::{CONFIG_APPLY, EVACUATE, HOLD_MAX, START_UNIX_MS, STOP_MAX};

pub fn worker(id: &str, rack: &str, capacity: Resources) -> ListedWorker {
    ListedWorker {
        id: id.parse().expect("an id"),
        address: format!("{id}.test:1000"),
        service: "desk".parse().expect("an id"),
        zone: "a".parse().expect("an id"),
        rack: rack.parse().expect("an id"),
        labels: BTreeSet::from(["a".to_owned(), rack.to_owned()]),
        capacity,
        draining: false,
        remaining_ms: None,
        incarnation: None,
    }
}

pub fn bounds() -> Bounds {
    Bounds {
        lease_duration: HOLD_MAX,
        stop_max: STOP_MAX,
        guaranteed_start_limit: Duration::from_millis(3_400),
        evacuation_limit: EVACUATE,
        configuration_limit: CONFIG_APPLY,
        far_factor: 3,
        keep_ended: Duration::from_secs(120),
    }
}

pub fn queue(priority: u8) -> Queue {
    Queue {
        name: format!("q{priority}"),
        service: "desk".parse().expect("an id"),
        priority,
        attempts: 2,
        stretch: 2.0,
        target_ms: 500,
        ticket_valid_ms: None,
    }
}

pub fn job(id: &str, priority: u8, steps: Vec<StepSpec>) -> AcceptedJob {
    AcceptedJob {
        id: id.parse().expect("an id"),
        customer: Some("mesa".parse().expect("an id")),
        queue: queue(priority),
        accepted_unix_ms: START_UNIX_MS,
        spec: BatchSpec {
            payload: "work".to_owned(),
            steps,
            schedule: None,
        },
        mark: Mark::new("vm-1".parse().expect("an id"), 1, 1),
        zone: None,
        first_requested_unix_ms: None,
    }
}

pub fn step(count: u32, accelerators: u32) -> StepSpec {
    StepSpec {
        count,
        needs: Resources::new(1000, 1000, accelerators),
        estimate_ms: 2_000,
        ..StepSpec::default()
    }
}

pub fn gang(count: u32, accelerators: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accelerators)
    }
}

pub fn catalog(guaranteed: u32) -> Catalog {
    Catalog {
        version: 1,
        routes: (0..3)
            .map(|priority| Route {
                host: "h".to_owned(),
                path_prefix: format!("/{priority}/"),
                public: false,
                timeout_ms: 3_000,
                queue: queue(priority),
            })
            .collect(),
        customers: vec![Customer {
            name: "mesa".parse::<CustomerId>().expect("an id"),
            keys: BTreeSet::from(["key".to_owned()]),
            guaranteed,
        }],
        max_body_bytes: 1000,
    }
}

pub fn id(text: &str) -> JobId {
    text.parse().expect("an id")
}

pub fn task(job: &str, step: u32, index: u32) -> TaskKey {
    TaskKey::new(id(job), 0, step, index)
}
