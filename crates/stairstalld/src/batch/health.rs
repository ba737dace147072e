//! What the balancer and the operators' tools ask: readiness and figures.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use stairstall_core::batch::ContactLag;
use viz::header::{CONTENT_TYPE, HeaderValue};
use viz::{Body, Request, Response, Result, Router, StatusCode};

use super::node::Node;

/// Path of the figures.
pub(crate) const METRICS_PATH: &str = "/metrics";

/// Returns the routes of the health address.
pub(crate) fn health_router(node: &Arc<Node>) -> Router {
    let path = node.dialect.readiness_path();
    let node = Arc::clone(node);
    Router::new().get(path, move |_: Request| {
        let node = Arc::clone(&node);
        async move { Result::Ok(readiness(&node)) }
    })
}

/// Ready is a daemon that knows a configuration, is not leaving and is not cut off.
fn readiness(node: &Node) -> Response {
    let mut response = Response::new(Body::empty());
    if !node.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Returns the routes of the metrics address.
pub(crate) fn metrics_router(node: &Arc<Node>) -> Router {
    let node = Arc::clone(node);
    Router::new().get(METRICS_PATH, move |_: Request| {
        let node = Arc::clone(&node);
        async move { Result::Ok(figures(&node)) }
    })
}

fn figures(node: &Node) -> Response {
    if let Some(tenure) = node.tenure() {
        let (open_jobs, runs) = tenure.load();
        node.telemetry.contact(&tenure.contact_lag());
        node.telemetry.load(open_jobs, runs);
        let (zones, age) = tenure.evacuations();
        node.telemetry.evacuations(zones, age.unwrap_or_default());
    } else {
        node.telemetry.evacuations(0, Duration::ZERO);
        node.telemetry.load(0, 0);
        node.telemetry.contact(&ContactLag::default());
    }
    let mut response = Response::new(Body::from(Full::from(node.telemetry.text())));
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; version=0.0.4"),
    );
    response
}
