//! Sends a request to a service.

use std::time::Duration;

use hyper::Method;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use stairstall_core::protocol::header;

use crate::cli::CallOptions;
use crate::client::Client;
use crate::exit::Trouble;
use crate::render;

/// Longest wait for a request that carries no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(24 * 3600);
/// What the network may add to the deadline.
const NETWORK: Duration = Duration::from_secs(5);

pub async fn call(client: &Client, options: &CallOptions) -> Result<(), Trouble> {
    let headers = headers(options)?;
    let deadline = options.deadline_ms.map(Duration::from_millis);
    let timeout = deadline.map_or(DEFAULT_TIMEOUT, |deadline| deadline + NETWORK);
    let path = format!(
        "/call/{}/{}",
        options.service,
        options.path.trim_start_matches('/')
    );
    let answer = client
        .send(&Method::POST, &path, &headers, &options.data, timeout)
        .await?;
    let ran = answer
        .headers
        .get(header::VERDICT)
        .is_some_and(|v| v == "ran");
    if !ran {
        return Err(answer.trouble());
    }
    render::bytes(&answer.body)
}

fn headers(options: &CallOptions) -> Result<HeaderMap, Trouble> {
    let mut headers = HeaderMap::new();
    let mut set = |name: &'static str, value: String| {
        let value =
            HeaderValue::from_str(&value).map_err(|e| Trouble::Usage(format!("{name}: {e}")))?;
        headers.insert(HeaderName::from_static(name), value);
        Ok(())
    };
    set(header::CUSTOMER, options.customer.to_string())?;
    set(header::CLASS, options.class.to_string())?;
    if let Some(id) = &options.id {
        set(header::REQUEST_ID, id.to_string())?;
    }
    if let Some(labels) = &options.labels {
        set(header::LABELS, labels.to_string())?;
    }
    if let Some(deadline) = options.deadline_ms {
        set(header::DEADLINE_MS, deadline.to_string())?;
    }
    let repeatable = if options.not_repeatable { "no" } else { "yes" };
    set(header::REPEATABLE, repeatable.to_owned())?;
    Ok(headers)
}
