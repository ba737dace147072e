//! Routes and general handlers of the HTTP interface for callers and operators. docs/INTERFACE.md
//! describes it.

use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use stairstall_core::claim::ClaimRecord;
use stairstall_core::config::Revision;
use stairstall_core::membership::MemberTable;
use stairstall_core::protocol::Heartbeat;
use stairstall_core::{CustomerId, RequestId, Verdict};
use viz::{Request, RequestExt, Response, Result, Router, StatusCode};

use crate::daemon::{Daemon, lock};
use crate::incoming::read_body;
use crate::peers::own_heartbeat;
use crate::response::{ErrorResponse, STORE_RETRY_AFTER, json};
use crate::{call, configure, jobs, keys};

/// State of one daemon, as operators read it from `/v1/status`.
#[derive(Debug, Serialize)]
struct Status {
    daemon: Heartbeat,
    peers: Vec<Heartbeat>,
    store_silent_ms: Option<u64>,
    in_flight: usize,
    store_calls: u64,
}

/// Response to the load balancer's health checks.
#[derive(Debug, Serialize)]
struct Health {
    state: &'static str,
    revision: Revision,
}

/// Turns a function of the daemon and the request into a route handler.
macro_rules! route {
    ($daemon:expr, $call:expr) => {{
        let daemon = Arc::clone($daemon);
        move |request: Request| {
            let daemon = Arc::clone(&daemon);
            async move { Ok::<Response, viz::Error>(into_response($call(daemon, request).await)) }
        }
    }};
}

/// Returns the HTTP routes of a daemon.
pub(crate) fn router(daemon: &Arc<Daemon>) -> Router {
    let calls = Arc::clone(daemon);
    let call = move |request: Request| {
        let daemon = Arc::clone(&calls);
        async move { Result::Ok(call::serve(daemon, request).await) }
    };
    Router::new()
        .get(
            "/health",
            route!(daemon, async |d: Arc<Daemon>, _| Ok(health(&d))),
        )
        .get(
            "/v1/status",
            route!(daemon, async |d: Arc<Daemon>, _| Ok(status(&d))),
        )
        .get(
            "/v1/config/:kind",
            route!(daemon, async |d: Arc<Daemon>, r| configure::get(&d, &r)),
        )
        .post(
            "/v1/config",
            route!(daemon, async |d: Arc<Daemon>, mut r| configure::change(
                &d, &mut r
            )
            .await),
        )
        .post(
            "/v1/jobs",
            route!(daemon, async |d: Arc<Daemon>, mut r| jobs::submit(
                &d, &mut r
            )
            .await),
        )
        .get(
            "/v1/jobs",
            route!(daemon, async |d: Arc<Daemon>, r| jobs::list(&d, &r).await),
        )
        .get(
            "/v1/jobs/:customer/:id",
            route!(daemon, async |d: Arc<Daemon>, r| jobs::status(&d, &r).await),
        )
        .delete(
            "/v1/jobs/:customer/:id",
            route!(daemon, async |d: Arc<Daemon>, r| jobs::cancel(&d, &r).await),
        )
        .get(
            "/v1/jobs/:customer/:id/explain",
            route!(daemon, async |d: Arc<Daemon>, r| jobs::explain(&d, &r)
                .await),
        )
        .get(
            "/v1/requests/:customer/:id",
            route!(daemon, async |d: Arc<Daemon>, r| claim_record(&d, &r).await),
        )
        .any("/call/:service", call.clone())
        .any("/call/:service/*", call)
}

fn into_response(result: std::result::Result<Response, ErrorResponse>) -> Response {
    result.unwrap_or_else(Into::into)
}

fn health(daemon: &Daemon) -> Response {
    let revision = daemon.configuration().revision;
    if daemon.is_leaving() {
        let health = Health {
            state: "leaving",
            revision,
        };
        return json(StatusCode::SERVICE_UNAVAILABLE, &health);
    }
    json(
        StatusCode::OK,
        &Health {
            state: "serving",
            revision,
        },
    )
}

fn status(daemon: &Daemon) -> Response {
    let now = daemon.clock.now();
    let status = Status {
        daemon: own_heartbeat(daemon, MemberTable::INTERVAL),
        peers: lock(&daemon.members).live(now).cloned().collect(),
        store_silent_ms: daemon.store_silent_for().map(crate::clock::millis),
        in_flight: daemon.dispatcher.in_flight(),
        store_calls: daemon.store.calls(),
    };
    json(StatusCode::OK, &status)
}

/// Returns the stored claim of a not-repeatable request.
async fn claim_record(
    daemon: &Daemon,
    request: &Request,
) -> std::result::Result<Response, ErrorResponse> {
    let customer: CustomerId = request
        .param("customer")
        .map_err(|e| ErrorResponse::bad_request("customer", e.to_string()))?;
    let id: RequestId = request
        .param("id")
        .map_err(|e| ErrorResponse::bad_request("id", e.to_string()))?;
    let entry = daemon.store.get(&keys::claim(&customer, &id)).await;
    daemon.record_store_result(&entry);
    let entry = entry.map_err(|e| {
        ErrorResponse::unavailable(format!("the store can't be read: {e}"), STORE_RETRY_AFTER)
            .with_verdict(Verdict::MayHaveRun)
    })?;
    let record = entry.and_then(|entry| entry.read::<ClaimRecord>());
    let not_found = || ErrorResponse::not_found(format!("no not-repeatable request {id} is known"));
    Ok(json(StatusCode::OK, &record.ok_or_else(not_found)?))
}

/// Returns the decoded value of a query parameter.
pub(crate) fn query_value(request: &Request, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

/// Reads a JSON body; an error names the invalid field.
pub(crate) async fn read_json<T: DeserializeOwned>(
    daemon: &Daemon,
    request: &mut Request,
) -> std::result::Result<T, ErrorResponse> {
    let bytes = read_body(daemon, request).await?;
    let mut reader = serde_json::Deserializer::from_slice(&bytes);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let path = error.path().to_string();
        ErrorResponse::bad_request(
            field_of(&path, error.inner()).as_str(),
            error.into_inner().to_string(),
        )
    })?;
    reader
        .end()
        .map_err(|e| ErrorResponse::bad_request("body", e.to_string()))?;
    Ok(value)
}

/// Returns the name of the invalid field; serde reports an unknown field in the error's text only.
fn field_of(path: &str, error: &serde_json::Error) -> String {
    let text = error.to_string();
    let quoted = text.split('`').nth(1).filter(|_| text.contains("field"));
    match (path, quoted) {
        (".", Some(name)) => name.to_owned(),
        // A body that is not JSON has no path.
        (".", None) | ("?", _) => "body".to_owned(),
        (path, Some(name)) if !path.ends_with(name) => format!("{path}.{name}"),
        (path, _) => path.to_owned(),
    }
}
