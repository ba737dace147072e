use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

/// A request of the work.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// When it is sent.
    pub at: Duration,
    /// Its id.
    pub id: String,
    /// Customer.
    pub customer: &'static str,
    /// Priority class.
    pub class: &'static str,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// How long a minion works on it.
    pub work: Duration,
    /// How long its caller waits.
    pub deadline: Duration,
}

/// A job of the work.
#[derive(Debug, Clone)]
pub struct PlannedJob {
    /// When it is submitted.
    pub at: Duration,
    /// The job as JSON.
    pub body: Value,
    /// Its key.
    pub key: String,
    /// Whether it claims a guarantee.
    pub claims: bool,
}

/// One user's work.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// How long new work arrives.
    pub length: Duration,
    /// Requests in order of time.
    pub requests: Vec<PlannedRequest>,
    /// Jobs in order of time.
    pub jobs: Vec<PlannedJob>,
    customers: Vec<&'static str>,
    guarantee: Value,
}

/// A kind of request.
struct RequestKind {
    name: &'static str,
    customer: &'static str,
    class: &'static str,
    repeatable: bool,
    count: u32,
    work_ms: std::ops::Range<u64>,
    /// When the first and the last are sent, in thousandths of the length.
    span: std::ops::Range<u64>,
}

/// A kind of job.
struct JobKind {
    name: &'static str,
    customer: &'static str,
    class: &'static str,
    repeatable: bool,
    checkpoint_ms: Option<u64>,
    count: u32,
    members: u16,
    accelerators: u8,
    work_ms: std::ops::Range<u64>,
    span: std::ops::Range<u64>,
    claims: bool,
}

impl Deployment {
    /// Ticket triage: a web desk, a radio burst, routed replies and long drafts.
    #[must_use]
    pub fn triage(seed: u64, length: Duration, scale: u32) -> Self {
        let requests = [
            RequestKind {
                name: "desk",
                customer: "mesa",
                class: "web",
                repeatable: true,
                count: 300 * scale,
                work_ms: 20..80,
                span: 0..1000,
            },
            RequestKind {
                name: "radio",
                customer: "radios",
                class: "batch",
                repeatable: true,
                count: 500 * scale,
                work_ms: 20..60,
                span: 300..350,
            },
            RequestKind {
                name: "reply",
                customer: "mesa",
                class: "web",
                repeatable: false,
                count: 80 * scale,
                work_ms: 20..60,
                span: 0..1000,
            },
        ];
        let jobs = [
            JobKind {
                name: "draft",
                customer: "mesa",
                class: "urgent",
                repeatable: true,
                checkpoint_ms: Some(400),
                count: 4 * scale,
                members: 2,
                accelerators: 8,
                work_ms: 1_000..3_000,
                span: 100..900,
                claims: false,
            },
            JobKind {
                name: "guarded-draft",
                customer: "guarded",
                class: "urgent",
                repeatable: true,
                checkpoint_ms: Some(400),
                count: 3,
                members: 4,
                accelerators: 8,
                work_ms: 800..1_200,
                span: 200..900,
                claims: true,
            },
            JobKind {
                name: "tenant",
                customer: "tenant",
                class: "batch",
                repeatable: true,
                checkpoint_ms: Some(300),
                count: 60 * scale,
                members: 1,
                accelerators: 2,
                work_ms: 2_000..5_000,
                span: 0..500,
                claims: false,
            },
        ];
        let customers = vec!["mesa", "radios", "guarded", "tenant"];
        Self::draw(
            "Córdoba helpdesk triage",
            seed,
            length,
            customers,
            &requests,
            &jobs,
        )
    }

    /// Web fonts: subset requests, hinting previews and paid packaging gangs.
    #[must_use]
    pub fn fonts(seed: u64, length: Duration, scale: u32) -> Self {
        let requests = [
            RequestKind {
                name: "subset",
                customer: "portals",
                class: "web",
                repeatable: true,
                count: 500 * scale,
                work_ms: 5..30,
                span: 0..1000,
            },
            RequestKind {
                name: "news",
                customer: "papers",
                class: "web",
                repeatable: true,
                count: 300 * scale,
                work_ms: 5..30,
                span: 400..450,
            },
            RequestKind {
                name: "invoice",
                customer: "portals",
                class: "web",
                repeatable: false,
                count: 60 * scale,
                work_ms: 10..40,
                span: 0..1000,
            },
        ];
        let jobs = [
            JobKind {
                name: "preview",
                customer: "papers",
                class: "batch",
                repeatable: true,
                checkpoint_ms: Some(300),
                count: 40 * scale,
                members: 1,
                accelerators: 2,
                work_ms: 1_000..4_000,
                span: 0..700,
                claims: false,
            },
            JobKind {
                name: "package",
                customer: "books",
                class: "paid",
                repeatable: false,
                checkpoint_ms: None,
                count: 4 * scale,
                members: 4,
                accelerators: 8,
                work_ms: 1_000..3_000,
                span: 100..900,
                claims: false,
            },
            JobKind {
                name: "guarded-package",
                customer: "guarded",
                class: "paid",
                repeatable: false,
                checkpoint_ms: None,
                count: 3,
                members: 4,
                accelerators: 8,
                work_ms: 800..1_200,
                span: 200..900,
                claims: true,
            },
        ];
        let customers = vec!["portals", "papers", "books", "guarded"];
        Self::draw(
            "Swahili web fonts",
            seed,
            length,
            customers,
            &requests,
            &jobs,
        )
    }

    fn draw(
        name: &'static str,
        seed: u64,
        length: Duration,
        customers: Vec<&'static str>,
        request_kinds: &[RequestKind],
        job_kinds: &[JobKind],
    ) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut at = |span: &std::ops::Range<u64>| {
            let millis = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
            Duration::from_millis(millis * random.random_range(span.clone()) / 1000)
        };
        let mut requests = Vec::new();
        let mut jobs = Vec::new();
        for kind in request_kinds {
            requests.extend((0..kind.count).map(|n| kind.plan(n, seed, at(&kind.span))));
        }
        for kind in job_kinds {
            jobs.extend((0..kind.count).map(|n| kind.plan(n, seed, at(&kind.span))));
        }
        requests.sort_by_key(|request| request.at);
        jobs.sort_by_key(|job| job.at);
        let guarantee = json!({"members": 4, "accelerators": 8, "processors": 4, "adjacent": true});
        Self {
            name,
            length,
            requests,
            jobs,
            customers,
            guarantee,
        }
    }

    /// Returns the configuration that the work needs.
    #[must_use]
    pub fn resources(&self, zones: &[String]) -> Vec<Value> {
        let mut resources: Vec<Value> = self
            .customers
            .iter()
            .map(|customer| json!({"kind": "customer", "name": customer}))
            .collect();
        resources.extend([
            json!({"kind": "priority-class", "name": "urgent", "level": 200, "weight": 8,
                "preempts": true}),
            json!({"kind": "priority-class", "name": "paid", "level": 100, "weight": 4}),
            json!({"kind": "priority-class", "name": "web", "level": 100, "weight": 8}),
            json!({"kind": "priority-class", "name": "batch", "level": 10, "weight": 1}),
            json!({"kind": "service", "name": "triage", "slots": 8, "deadline_ms": 20_000}),
            json!({"kind": "guarantee", "name": "guarded-rack", "customer": "guarded",
                "zone": zones.first(), "shape": self.guarantee}),
        ]);
        resources
    }
}

/// A length of work that follows from its name, so that it is the same for the same seed.
fn work_ms(range: &std::ops::Range<u64>, name: &str, seed: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ xxhash_rust::xxh3::xxh3_64(name.as_bytes()));
    random.random_range(range.clone())
}

impl RequestKind {
    fn plan(&self, number: u32, seed: u64, at: Duration) -> PlannedRequest {
        let id = format!("{}-{number}", self.name);
        PlannedRequest {
            at,
            work: Duration::from_millis(work_ms(&self.work_ms, &id, seed)),
            id,
            customer: self.customer,
            class: self.class,
            repeatable: self.repeatable,
            deadline: Duration::from_secs(20),
        }
    }
}

impl JobKind {
    fn plan(&self, number: u32, seed: u64, at: Duration) -> PlannedJob {
        let id = format!("{}-{number}", self.name);
        let shape = json!({"members": self.members, "accelerators": self.accelerators,
            "processors": 4, "adjacent": self.members > 1});
        let body = json!({"customer": self.customer, "id": id, "class": self.class,
            "shape": shape, "repeatable": self.repeatable, "checkpoint_ms": self.checkpoint_ms,
            "expected_ms": work_ms(&self.work_ms, &id, seed), "payload": "run"});
        PlannedJob {
            at,
            body,
            key: format!("{}/{id}", self.customer),
            claims: self.claims,
        }
    }
}
