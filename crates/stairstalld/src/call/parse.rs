//! Parses a request's path and headers; an error names the invalid header.

use std::time::Duration;

use bytes::Bytes;
use stairstall_core::admission::Flow;
use stairstall_core::protocol::header;
use stairstall_core::{ClassId, CustomerId, Labels, RequestId, ServiceId, Timestamp, Verdict};
use viz::header::HeaderMap;
use viz::{Method, Request, RequestExt, StatusCode};

use crate::daemon::Daemon;
use crate::response::ErrorResponse;

/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3600);
/// Headers that belong to one connection and are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
];

/// A parsed request of a caller, with everything that routing needs.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) id: RequestId,
    pub(super) service: ServiceId,
    /// Number of slots of each minion of the service.
    pub(super) slots: u16,
    pub(super) flow: Flow,
    /// Weight of the request in the fair queue: that of its class times that of its customer.
    pub(super) weight: u32,
    pub(super) deadline: Timestamp,
    pub(super) repeatable: bool,
    /// Whether another daemon forwarded the request; such a request is not forwarded again.
    pub(super) is_forwarded: bool,
    pub(super) method: Method,
    /// Path and query that the minion gets.
    pub(super) path: String,
    /// Path and query of the original request, for another daemon.
    pub(super) full_path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl Call {
    pub(super) fn with_body(mut self, body: Bytes) -> Self {
        self.body = body;
        self
    }
}

/// Returns the headers without those that belong to one connection.
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in HOP_BY_HOP {
        forwarded.remove(name);
    }
    forwarded
}

/// Parses everything but the body of a request.
pub(super) fn parse(daemon: &Daemon, request: &Request) -> Result<Call, ErrorResponse> {
    let headers = request.headers();
    let configuration = daemon.configuration();
    let id = match optional::<RequestId>(headers, header::REQUEST_ID)? {
        Some(id) => id,
        None => generate_id(daemon)?,
    };
    let fail = |error: ErrorResponse| error.with_request(&id);
    let service: ServiceId = request
        .param("service")
        .map_err(|e| fail(ErrorResponse::bad_request("service", e.to_string())))?;
    let Some(service_config) = configuration.services.get(&service) else {
        let error = format!("there is no service {:?}", service.as_str());
        return Err(fail(ErrorResponse::not_found(error).with_field("service")));
    };
    let customer = required::<CustomerId>(headers, header::CUSTOMER).map_err(fail)?;
    let Some(customer_config) = configuration.customers.get(&customer) else {
        let error = format!("there is no customer {:?}", customer.as_str());
        let forbidden = ErrorResponse::new(StatusCode::FORBIDDEN, Verdict::NotRun, error);
        return Err(fail(forbidden.with_field(header::CUSTOMER)));
    };
    let class = required::<ClassId>(headers, header::CLASS).map_err(fail)?;
    let labels = optional::<Labels>(headers, header::LABELS)
        .map_err(fail)?
        .unwrap_or_default();
    let effect = configuration.effect_on(&with_identity_labels(labels, &customer, &class));
    let class = effect.class.unwrap_or(class);
    let Some(class_config) = configuration.classes.get(&class) else {
        let error = format!("there is no priority class {:?}", class.as_str());
        return Err(fail(ErrorResponse::bad_request(header::CLASS, error)));
    };
    let deadline = deadline(headers, service_config.deadline_ms).map_err(fail)?;
    let repeatable = repeatable(headers).map_err(fail)?;
    let (path, full_path) = paths(request, &service);
    Ok(Call {
        id: id.clone(),
        slots: service_config.slots,
        weight: class_config.weight.saturating_mul(customer_config.weight),
        flow: Flow::new(class, customer),
        service,
        deadline: daemon.clock.now() + deadline,
        repeatable,
        is_forwarded: headers.contains_key(header::HOP),
        method: request.method().clone(),
        path,
        full_path,
        headers: end_to_end(headers),
        body: Bytes::new(),
    })
}

fn generate_id(daemon: &Daemon) -> Result<RequestId, ErrorResponse> {
    let mark = daemon.next_mark();
    let text = format!("{:016x}-{:x}", mark.instance, mark.serial);
    text.parse()
        .map_err(|_| ErrorResponse::bad_request(header::REQUEST_ID, "no id could be made up"))
}

/// Adds the customer and the class as labels, for rules that select by them.
fn with_identity_labels(labels: Labels, customer: &CustomerId, class: &ClassId) -> Labels {
    let named = labels.clone().with("customer", customer.as_str());
    let named = named.and_then(|l| l.with("class", class.as_str()));
    named.unwrap_or(labels)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ErrorResponse> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .map(Some)
        .map_err(|_| ErrorResponse::bad_request(name, format!("{name} is not plain text")))
}

fn optional<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, ErrorResponse>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(value) = header_text(headers, name)? else {
        return Ok(None);
    };
    value
        .parse()
        .map(Some)
        .map_err(|e: T::Err| ErrorResponse::bad_request(name, format!("{name}: {e}")))
}

fn required<T>(headers: &HeaderMap, name: &str) -> Result<T, ErrorResponse>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    optional(headers, name)?
        .ok_or_else(|| ErrorResponse::bad_request(name, format!("{name} is missing")))
}

fn deadline(headers: &HeaderMap, default_ms: u64) -> Result<Duration, ErrorResponse> {
    let millis = optional::<u64>(headers, header::DEADLINE_MS)?.unwrap_or(default_ms);
    let deadline = Duration::from_millis(millis);
    if millis == 0 || deadline > MAX_DEADLINE {
        let max = MAX_DEADLINE.as_millis();
        let error = format!("{} is from 1 to {max}", header::DEADLINE_MS);
        return Err(ErrorResponse::bad_request(header::DEADLINE_MS, error));
    }
    Ok(deadline)
}

fn repeatable(headers: &HeaderMap) -> Result<bool, ErrorResponse> {
    match header_text(headers, header::REPEATABLE)? {
        None | Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(other) => {
            let error = format!("{} is yes or no, not {other:?}", header::REPEATABLE);
            Err(ErrorResponse::bad_request(header::REPEATABLE, error))
        }
    }
}

/// Returns the path and query for the minion, and those of the original request.
fn paths(request: &Request, service: &ServiceId) -> (String, String) {
    let full = request.uri().path_and_query().map_or("/", |p| p.as_str());
    let prefix = format!("/call/{service}");
    let rest = full.strip_prefix(&prefix).unwrap_or("/");
    let slash = if rest.starts_with('/') { "" } else { "/" };
    (format!("{slash}{rest}"), full.to_owned())
}
