//! Handlers that accept, show, list, cancel and explain jobs.

use std::sync::Arc;

use stairstall_core::membership::MemberTable;
use stairstall_core::placement::{JobKey, JobRecord, JobSpec, JobState};
use stairstall_core::protocol::{Explanation, ExplanationEntry, Heartbeat, JobList};
use stairstall_core::{Selector, Verdict, ZoneId};
use stairstall_store::{Expect, Swap};
use viz::{Request, RequestExt, Response, StatusCode};

use crate::api::{query_value, read_json};
use crate::clock::unix_millis;
use crate::daemon::{Daemon, lock};
use crate::keys;
use crate::peers::{PeerClient, client, explain_own, own_heartbeat};
use crate::response::{ErrorResponse, STORE_RETRY_AFTER, json};

/// Maximum number of attempts to store a job before the caller is told that the outcome is unknown.
const ACCEPT_ATTEMPTS: u32 = 3;
/// Maximum number of attempts to cancel a job whose record others write at the same time.
const CANCEL_ATTEMPTS: u32 = 5;

/// Accepts a job. The job is durable in the store before the caller gets the response.
pub(crate) async fn submit(
    daemon: &Arc<Daemon>,
    request: &mut Request,
) -> Result<Response, ErrorResponse> {
    let spec: JobSpec = read_json(daemon, request).await?;
    validate(daemon, &spec)?;
    let zone = choose_zone(daemon, &spec);
    let record = JobRecord {
        spec,
        zone,
        mark: daemon.next_mark(),
        accepted_ms: unix_millis(),
        cancel: false,
        saved_ms: 0,
        crashes: 0,
        started: false,
        state: JobState::Accepted,
    };
    let (status, record) = accept(daemon, record).await?;
    daemon.metrics.count("job.accepted");
    Ok(json(status, &record))
}

/// Checks a job's specification, its customer and its priority class.
fn validate(daemon: &Daemon, spec: &JobSpec) -> Result<(), ErrorResponse> {
    spec.check()
        .map_err(|e| ErrorResponse::bad_request(e.field(), e.to_string()))?;
    let configuration = daemon.configuration();
    if !configuration.customers.contains_key(&spec.customer) {
        let error = format!("there is no customer {:?}", spec.customer.as_str());
        let forbidden = ErrorResponse::new(StatusCode::FORBIDDEN, Verdict::NotRun, error);
        return Err(forbidden.with_field("customer"));
    }
    if !configuration.classes.contains_key(&spec.class) {
        let error = format!("there is no priority class {:?}", spec.class.as_str());
        return Err(ErrorResponse::bad_request("class", error));
    }
    Ok(())
}

/// Chooses the zone of a job: the requested one, the one of a rule, the one of the customer's
/// guarantee, or the one where the job fits best.
fn choose_zone(daemon: &Daemon, spec: &JobSpec) -> ZoneId {
    let own = &daemon.settings.zone;
    let configuration = daemon.configuration();
    let allowed = configuration.effect_on(&spec.all_labels()).zones;
    let guaranteed = configuration
        .guarantees
        .values()
        .find(|g| g.customer == spec.customer && spec.shape.fits_in(&g.shape))
        .map(|g| g.zone.clone());
    let (zone, reason) = if let Some(zone) = &spec.zone {
        (zone.clone(), "requested by the job")
    } else if let Some(zone) = allowed.as_ref().and_then(|zones| zones.first()) {
        (zone.clone(), "required by a rule")
    } else if let Some(zone) = guaranteed {
        (zone, "has the customer's guarantee")
    } else {
        (
            preferred_zone(daemon, spec).unwrap_or_else(|| own.clone()),
            "has free capacity",
        )
    };
    log::info!(target: "decision", job:% = spec.key(), zone:% = zone; "zone chosen: {reason}");
    zone
}

/// Returns the zone that fits the job best among those with a live placement holder. A zone where
/// the job may start at once comes first, then one that is large enough, then this zone, then the
/// one with the fewest waiting jobs and the most free accelerators.
fn preferred_zone(daemon: &Daemon, spec: &JobSpec) -> Option<ZoneId> {
    let now = daemon.clock.now();
    let needed = spec.shape.total_accelerators();
    let own = &daemon.settings.zone;
    let mut members = lock(&daemon.members);
    members.handle_heartbeat(own_heartbeat(daemon, MemberTable::INTERVAL), now);
    let preference = |h: &Heartbeat| {
        let load = h.placement?;
        let starts_at_once = load.free_accelerators >= needed && load.waiting_jobs == 0;
        let fits = load.total_accelerators >= needed;
        Some((
            starts_at_once,
            fits,
            h.zone == *own,
            std::cmp::Reverse(load.waiting_jobs),
            load.free_accelerators,
        ))
    };
    let holders = members.live(now).filter(|h| h.placement.is_some());
    holders
        .max_by_key(|h| preference(h))
        .map(|h| h.zone.clone())
}

/// Stores the job unless one with the same key exists.
async fn accept(
    daemon: &Daemon,
    record: JobRecord,
) -> Result<(StatusCode, JobRecord), ErrorResponse> {
    let key = keys::job(&record.spec.key());
    let mut verdict = Verdict::NotRun;
    for _ in 0..ACCEPT_ATTEMPTS {
        let swapped = daemon.store.swap(&key, Expect::Absent, &record, None).await;
        daemon.record_store_result(&swapped);
        match swapped {
            Ok(Swap::Applied(_)) => return Ok((StatusCode::CREATED, record)),
            Ok(Swap::Conflict(Some(entry))) => {
                let found: Option<JobRecord> = entry.read();
                return found.map_or_else(
                    || Err(unreadable_record()),
                    |found| existing_job(&record, found),
                );
            }
            Ok(Swap::Conflict(None)) => {}
            Err(error) => verdict = verdict.and(error.verdict()),
        }
    }
    let error = match verdict {
        Verdict::NotRun => "the store can't be reached: the job is not accepted",
        _ => {
            "the store does not answer: whether the job is accepted is not known; \
              submit it again with the same name to learn it"
        }
    };
    Err(ErrorResponse::unavailable(error, STORE_RETRY_AFTER).with_verdict(verdict))
}

fn unreadable_record() -> ErrorResponse {
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    ErrorResponse::new(
        status,
        Verdict::MayHaveRun,
        "the job's record can't be read",
    )
}

/// Accepts a repeated submission of the same job, and refuses another job with the same key.
fn existing_job(
    submitted: &JobRecord,
    found: JobRecord,
) -> Result<(StatusCode, JobRecord), ErrorResponse> {
    if found.mark == submitted.mark {
        return Ok((StatusCode::CREATED, found));
    }
    if found.spec == submitted.spec {
        return Ok((StatusCode::OK, found));
    }
    let error = format!(
        "customer {} has another job {}",
        found.spec.customer, found.spec.id
    );
    Err(ErrorResponse::new(StatusCode::CONFLICT, Verdict::NotRun, error).with_field("id"))
}

/// Returns the job's key from the request's path.
fn key_of(request: &Request) -> Result<JobKey, ErrorResponse> {
    let bad_request = |field: &'static str| {
        move |e: viz::types::ParamsError| ErrorResponse::bad_request(field, e.to_string())
    };
    let customer: String = request.param("customer").map_err(bad_request("customer"))?;
    let id: String = request.param("id").map_err(bad_request("id"))?;
    let customer = customer
        .parse()
        .map_err(|e| ErrorResponse::bad_request("customer", format!("{e}")))?;
    let id = id
        .parse()
        .map_err(|e| ErrorResponse::bad_request("id", format!("{e}")))?;
    Ok(JobKey::new(customer, id))
}

/// Reads a job's record and its revision from the store.
async fn read(daemon: &Daemon, key: &JobKey) -> Result<(JobRecord, u64), ErrorResponse> {
    let entry = daemon.store.get(&keys::job(key)).await;
    daemon.record_store_result(&entry);
    let entry = entry.map_err(|e| {
        ErrorResponse::unavailable(format!("the store can't be read: {e}"), STORE_RETRY_AFTER)
            .with_verdict(Verdict::MayHaveRun)
    })?;
    let not_found =
        || ErrorResponse::not_found(format!("there is no job {key}, or it ended over a day ago"));
    let entry = entry.ok_or_else(not_found)?;
    let record = entry.read().ok_or_else(unreadable_record)?;
    Ok((record, entry.revision))
}

/// Returns a job's record.
pub(crate) async fn status(daemon: &Daemon, request: &Request) -> Result<Response, ErrorResponse> {
    let (record, _) = read(daemon, &key_of(request)?).await?;
    let mut response = json(StatusCode::OK, &record);
    if let Some(verdict) = record.state.verdict() {
        let name = stairstall_core::protocol::header::VERDICT;
        crate::response::set_header(response.headers_mut(), name, verdict.as_str());
    }
    Ok(response)
}

/// Lists the jobs whose labels match a selector.
pub(crate) async fn list(daemon: &Daemon, request: &Request) -> Result<Response, ErrorResponse> {
    let selector = selector_of(request)?;
    let listing = daemon.store.list(keys::JOBS).await;
    daemon.record_store_result(&listing);
    let listing = listing.map_err(|e| {
        ErrorResponse::unavailable(format!("the store can't be read: {e}"), STORE_RETRY_AFTER)
    })?;
    let records = listing
        .entries
        .iter()
        .filter_map(stairstall_store::Entry::read::<JobRecord>);
    let jobs = records
        .filter(|r| selector.matches(&r.spec.all_labels()))
        .collect();
    Ok(json(StatusCode::OK, &JobList { jobs }))
}

/// Parses the selector in a request's query; an empty selector matches everything.
pub(crate) fn selector_of(request: &Request) -> Result<Selector, ErrorResponse> {
    let text = query_value(request, "selector").unwrap_or_default();
    text.parse()
        .map_err(|e| ErrorResponse::bad_request("selector", format!("{e}")))
}

/// Marks a job as cancelled; the placement holder stops it and records the verdict.
pub(crate) async fn cancel(daemon: &Daemon, request: &Request) -> Result<Response, ErrorResponse> {
    let key = key_of(request)?;
    for _ in 0..CANCEL_ATTEMPTS {
        let (record, revision) = read(daemon, &key).await?;
        if record.state.is_final() || record.cancel {
            return Ok(json(StatusCode::OK, &record));
        }
        let record = JobRecord {
            cancel: true,
            ..record
        };
        let expect = Expect::Revision(revision);
        // If the store's answer was lost, the next attempt finds the record marked as cancelled.
        if let Ok(Swap::Applied(_)) = daemon
            .store
            .swap(&keys::job(&key), expect, &record, None)
            .await
        {
            return Ok(json(StatusCode::ACCEPTED, &record));
        }
    }
    let error = "the job's record could not be changed now; ask again";
    Err(ErrorResponse::unavailable(error, STORE_RETRY_AFTER).with_verdict(Verdict::MayHaveRun))
}

/// Explains a job's state, as its zone's placement holder sees it, or from its record if the holder
/// can't be asked.
pub(crate) async fn explain(daemon: &Daemon, request: &Request) -> Result<Response, ErrorResponse> {
    let key = key_of(request)?;
    if let Some(explanation) = explain_own(daemon, key.clone()).await {
        return Ok(json(StatusCode::OK, &explanation));
    }
    let (record, _) = read(daemon, &key).await?;
    if let Some(explanation) = ask_holder(daemon, &record.zone, &key).await {
        return Ok(json(StatusCode::OK, &explanation));
    }
    let text = match &record.state {
        JobState::Ended { reason, verdict } => format!("ended: {reason}; verdict {verdict}"),
        state => format!("the store says: {}", state.as_str()),
    };
    let stages = vec![ExplanationEntry {
        age_ms: 0,
        text: text.clone(),
    }];
    Ok(json(
        StatusCode::OK,
        &Explanation {
            job: key,
            summary: text,
            stages,
        },
    ))
}

async fn ask_holder(daemon: &Daemon, zone: &ZoneId, key: &JobKey) -> Option<Explanation> {
    let rpc = crate::peers::holder_address(daemon, zone)?;
    client(rpc)?.explain(key.clone()).await.ok().flatten()
}
