use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use hyper::Method;
use tokio::time::Instant;

use super::Deployment;
use super::deployment::PlannedRequest;
use crate::{Caller, CallerError, Reply, WORK_MS};

/// How often a caller tries again, at the next daemon.
const TRIES: usize = 5;
/// Longest pause that a caller makes before it tries again.
const MOST_PAUSE: Duration = Duration::from_secs(2);

/// What a caller made of its request.
#[derive(Debug, Clone)]
pub struct RequestOutcome {
    /// The request's id.
    pub id: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The last verdict that the caller was given; none where its connection broke.
    pub verdict: Option<String>,
    /// Whether the caller was given its own whole answer.
    pub answered: bool,
    /// Whether it was given somebody else's.
    pub mixed_up: bool,
    /// From the first try to the end.
    pub took: Duration,
}

/// Sends every request at its time, each try to another daemon, as a balancer does.
pub(super) async fn send_all(
    caller: &Caller,
    daemons: &[SocketAddr],
    deployment: &Deployment,
) -> Vec<RequestOutcome> {
    let started = Instant::now();
    let sends = deployment
        .requests
        .iter()
        .enumerate()
        .map(|(number, request)| async move {
            tokio::time::sleep_until(started + request.at).await;
            send_one(caller, daemons, number, request).await
        });
    join_all(sends).await
}

async fn send_one(
    caller: &Caller,
    daemons: &[SocketAddr],
    number: usize,
    request: &PlannedRequest,
) -> RequestOutcome {
    let started = Instant::now();
    let mut outcome = RequestOutcome {
        id: request.id.clone(),
        repeatable: request.repeatable,
        verdict: None,
        answered: false,
        mixed_up: false,
        took: Duration::ZERO,
    };
    for attempt in 0..TRIES {
        let daemon = daemons[(number + attempt) % daemons.len()];
        let sent = send(caller, daemon, request).await;
        let pause = note(&mut outcome, request, &sent);
        let Some(pause) = pause else { break };
        tokio::time::sleep(pause).await;
    }
    outcome.took = started.elapsed();
    outcome
}

async fn send(
    caller: &Caller,
    daemon: SocketAddr,
    request: &PlannedRequest,
) -> Result<Reply, CallerError> {
    let (work, deadline) = (
        request.work.as_millis().to_string(),
        request.deadline.as_millis().to_string(),
    );
    let headers = [
        ("stairstall-customer", request.customer),
        ("stairstall-class", request.class),
        ("stairstall-request-id", request.id.as_str()),
        (
            "stairstall-repeatable",
            if request.repeatable { "yes" } else { "no" },
        ),
        ("stairstall-deadline-ms", deadline.as_str()),
        (WORK_MS, work.as_str()),
    ];
    let body = format!("body of {}", request.id);
    caller
        .send(Method::POST, daemon, "/call/triage/run", &headers, body)
        .await
}

/// Notes an answer; returns how long to wait before the next try, if one is worth it.
fn note(
    outcome: &mut RequestOutcome,
    request: &PlannedRequest,
    sent: &Result<Reply, CallerError>,
) -> Option<Duration> {
    let Ok(reply) = sent else {
        outcome.verdict = None;
        return Some(Duration::from_millis(50));
    };
    outcome.verdict = reply.verdict().map(str::to_owned);
    if reply.status.is_success() {
        let own = format!("answer to {}: body of {}", request.id, request.id);
        outcome.answered = reply.text() == own;
        outcome.mixed_up = !outcome.answered;
        return None;
    }
    let after = reply.json()["retry_after_ms"].as_u64()?;
    Some(Duration::from_millis(after).min(MOST_PAUSE))
}
