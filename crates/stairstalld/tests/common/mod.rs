//! What the process tests share.
#![allow(dead_code, missing_docs)]

use std::net::SocketAddr;

use hyper::Method;
use serde_json::{Value, json};
use stairstall_standin::{
    Caller, CallerError, Cluster, ClusterPlan, MinionStandin, Reply, StartRecord, wait_until,
};

pub fn plan() -> ClusterPlan {
    ClusterPlan::small(env!("CARGO_BIN_EXE_stairstalld"))
}

/// Customers, classes and the service that every test uses.
pub fn resources() -> Vec<Value> {
    vec![
        json!({"kind": "customer", "name": "mesa", "weight": 2}),
        json!({"kind": "customer", "name": "fonts"}),
        json!({"kind": "customer", "name": "tenant"}),
        json!({"kind": "priority-class", "name": "urgent", "level": 200, "weight": 8, "preempts": true}),
        json!({"kind": "priority-class", "name": "web", "level": 100, "weight": 4}),
        json!({"kind": "priority-class", "name": "batch", "level": 10, "weight": 1}),
        json!({"kind": "service", "name": "triage", "slots": 8, "deadline_ms": 10_000}),
    ]
}

pub async fn start(plan: ClusterPlan) -> Cluster {
    let cluster = Cluster::start(plan).await.expect("the cluster starts");
    cluster.apply(&resources()).await;
    cluster
}

/// A request that a test sends.
#[derive(Debug, Clone)]
pub struct TestCall<'a> {
    pub id: &'a str,
    pub repeatable: bool,
    pub work_ms: u64,
    pub extra: Vec<(&'a str, &'a str)>,
}

impl<'a> TestCall<'a> {
    pub fn new(id: &'a str) -> Self {
        Self {
            id,
            repeatable: true,
            work_ms: 0,
            extra: Vec::new(),
        }
    }

    pub fn not_repeatable(mut self) -> Self {
        self.repeatable = false;
        self
    }

    pub fn with_work_ms(mut self, work_ms: u64) -> Self {
        self.work_ms = work_ms;
        self
    }

    pub fn with_header(mut self, name: &'a str, value: &'a str) -> Self {
        self.extra.push((name, value));
        self
    }

    pub async fn send(&self, caller: &Caller, to: SocketAddr) -> Result<Reply, CallerError> {
        let work = self.work_ms.to_string();
        let mut headers = vec![
            ("stairstall-customer", "mesa"),
            ("stairstall-class", "web"),
            ("stairstall-request-id", self.id),
            (
                "stairstall-repeatable",
                if self.repeatable { "yes" } else { "no" },
            ),
            (stairstall_standin::WORK_MS, work.as_str()),
        ];
        for (name, value) in &self.extra {
            headers.retain(|(known, _)| known != name);
            headers.push((name, value));
        }
        let body = format!("body of {}", self.id);
        caller
            .send(Method::POST, to, "/call/triage/run", &headers, body)
            .await
    }
}

/// A job as JSON.
pub fn job(customer: &str, id: &str, shape: &Value, work_ms: u64) -> Value {
    json!({
        "customer": customer, "id": id, "class": "batch", "shape": shape,
        "repeatable": false, "expected_ms": work_ms, "payload": "run",
    })
}

/// Returns a job's record.
pub async fn job_state(cluster: &Cluster, at: SocketAddr, job: &str) -> Value {
    let reply = cluster.caller.get(at, &format!("/v1/jobs/{job}")).await;
    reply.map(|r| r.json()).unwrap_or_default()
}

/// Returns how often minions began to run a request.
pub fn runs_of(cluster: &Cluster, request: &str) -> usize {
    let standins = cluster.minions.iter().filter_map(|m| m.standin.as_ref());
    standins
        .flat_map(MinionStandin::records)
        .filter(|r| r.request == request)
        .count()
}

/// A gang of whole workers.
pub fn gang(members: u16) -> Value {
    json!({"members": members, "accelerators": 8, "processors": 8, "adjacent": true})
}

/// Returns a daemon that runs.
pub fn running(cluster: &Cluster) -> SocketAddr {
    cluster
        .daemons
        .iter()
        .find(|d| d.is_running())
        .expect("a daemon runs")
        .address()
}

/// Submits a job to a daemon that runs.
pub async fn submit(cluster: &Cluster, body: &Value) {
    submit_at(cluster, running(cluster), body).await;
}

/// Submits a job to one daemon.
pub async fn submit_at(cluster: &Cluster, at: SocketAddr, body: &Value) {
    let reply = cluster
        .caller
        .post(at, "/v1/jobs", body)
        .await
        .expect("an answer");
    assert!(reply.status.is_success(), "{}", reply.text());
}

/// Returns the starts of a job's members.
pub fn starts_of(cluster: &Cluster, job: &str) -> Vec<StartRecord> {
    cluster
        .starts()
        .into_iter()
        .filter(|s| s.task.job.to_string() == job)
        .collect()
}

/// Waits until one attempt at a job has so many confirmed members.
pub async fn wait_for_confirmed(cluster: &Cluster, job: &str, members: usize) {
    wait_until(&format!("{members} members of {job}"), async || {
        let starts = starts_of(cluster, job);
        let last = starts.iter().map(|s| s.task.attempt).max();
        let of_last = |s: &&StartRecord| Some(s.task.attempt) == last && s.confirmed;
        starts.iter().filter(of_last).count() == members
    })
    .await;
}

/// Waits until a job is over and returns its record.
pub async fn wait_for_end(cluster: &Cluster, at: SocketAddr, job: &str) -> Value {
    wait_until(&format!("the end of {job}"), async || {
        let state = job_state(cluster, at, job).await["state"].clone();
        state == "finished" || state == "ended"
    })
    .await;
    job_state(cluster, at, job).await
}
