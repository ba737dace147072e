//! Endpoints for the load balancer and for operators' tools: readiness, metrics and job
//! explanations.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use stairstall_core::batch::{ContactLag, PaceSummary};
use viz::header::{CONTENT_TYPE, HeaderValue};
use viz::{Body, Request, RequestExt, Response, Result, Router, StatusCode};

use super::node::Node;
use super::queries;
use crate::response::{ErrorResponse, json};

/// Path of the metrics.
pub(crate) const METRICS_PATH: &str = "/metrics";

/// Path of job explanations.
const EXPLAIN_PATH: &str = "/v1/jobs/:id/explain";

/// Returns the router for the health address.
pub(crate) fn health_router(node: &Arc<Node>) -> Router {
    let path = node.dialect.readiness_path();
    let node = Arc::clone(node);
    Router::new().get(path, move |_: Request| {
        let node = Arc::clone(&node);
        async move { Result::Ok(readiness(&node)) }
    })
}

/// Answers a readiness check. A daemon is ready if it knows a configuration, is not leaving and is
/// not cut off.
fn readiness(node: &Node) -> Response {
    let mut response = Response::new(Body::empty());
    if !node.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Returns the router for the metrics address.
pub(crate) fn metrics_router(node: &Arc<Node>) -> Router {
    let metrics_node = Arc::clone(node);
    let explain_node = Arc::clone(node);
    Router::new()
        .get(METRICS_PATH, move |_: Request| {
            let node = Arc::clone(&metrics_node);
            async move { Result::Ok(metrics(&node)) }
        })
        .get(EXPLAIN_PATH, move |request: Request| {
            let node = Arc::clone(&explain_node);
            async move { Result::Ok(explain(&node, &request).await) }
        })
}

/// Explains the state of a job; every daemon answers, by asking the planner.
async fn explain(node: &Node, request: &Request) -> Response {
    let named = request.params::<String>().unwrap_or_default();
    let id = match node.dialect.read_job_id(&named) {
        Ok(id) => id,
        Err(error) => return ErrorResponse::bad_request("id", format!("{error}")).into(),
    };
    match queries::explain(node, &id).await {
        Some(explanation) => json(StatusCode::OK, &explanation),
        None => ErrorResponse::not_found("the planner can't be asked, or knows no such job").into(),
    }
}

fn metrics(node: &Node) -> Response {
    let catalog_age = node.known_catalog.age(node.clock.now());
    node.telemetry
        .catalog_age(catalog_age.unwrap_or(Duration::MAX));
    node.telemetry.intake(node.intake.in_use());
    if let Some(tenure) = node.tenure() {
        let (open_jobs, runs) = tenure.load_counts();
        node.telemetry.contact(&tenure.contact_lag());
        node.telemetry.load(open_jobs, runs);
        let oldest = tenure.oldest_fitting_wait();
        node.telemetry
            .oldest_fitting_wait(oldest.map_or(Duration::ZERO, |oldest| oldest.waited));
        node.telemetry.idle_jobs(tenure.idle_jobs());
        let oldest = tenure.oldest_guaranteed_wait();
        node.telemetry
            .oldest_guaranteed_wait(oldest.map_or(Duration::ZERO, |oldest| oldest.waited));
        node.telemetry.paces(&tenure.pace_summary());
        let (zones, age) = tenure.evacuated_zones();
        node.telemetry
            .evacuated_zones(zones, age.unwrap_or_default());
    } else {
        node.telemetry.evacuated_zones(0, Duration::ZERO);
        node.telemetry.load(0, 0);
        node.telemetry.oldest_fitting_wait(Duration::ZERO);
        node.telemetry.idle_jobs(0);
        node.telemetry.oldest_guaranteed_wait(Duration::ZERO);
        node.telemetry.paces(&PaceSummary::default());
        node.telemetry.contact(&ContactLag::default());
    }
    let mut response = Response::new(Body::from(Full::from(node.telemetry.text())));
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; version=0.0.4"),
    );
    response
}
