//! Accepts jobs and tells where they stand.

use std::sync::Arc;

use stairstall_core::membership::MemberTable;
use stairstall_core::placement::{JobKey, JobRecord, JobSpec, JobState};
use stairstall_core::protocol::{Explanation, ExplanationEntry, Heartbeat, JobList};
use stairstall_core::{Selector, Verdict, ZoneId};
use stairstall_store::{Expect, Swap};
use viz::{Request, RequestExt, Response, StatusCode};

use crate::answer::{Failure, STORE_RETRY, json};
use crate::api::{query_value, read_json};
use crate::clock::unix_millis;
use crate::daemon::{Daemon, lock};
use crate::keys;
use crate::peers::{PeerClient, ask_explanation, client, own_heartbeat};

/// How often an acceptance is written before the caller is told that it is not known.
const ACCEPT_WRITES: u32 = 3;
/// How often a cancellation is tried against other writers.
const CANCEL_TRIES: u32 = 5;

/// Accepts a job: it is durable in the store before the caller is told so.
pub(crate) async fn submit(
    daemon: &Arc<Daemon>,
    request: &mut Request,
) -> Result<Response, Failure> {
    let spec: JobSpec = read_json(daemon, request).await?;
    check(daemon, &spec)?;
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

fn check(daemon: &Daemon, spec: &JobSpec) -> Result<(), Failure> {
    spec.check()
        .map_err(|e| Failure::bad(e.field(), e.to_string()))?;
    let configuration = daemon.configuration();
    if !configuration.customers.contains_key(&spec.customer) {
        let error = format!("there is no customer {:?}", spec.customer.as_str());
        let failure = Failure::new(StatusCode::FORBIDDEN, Verdict::NotRun, error);
        return Err(failure.with_field("customer"));
    }
    if !configuration.classes.contains_key(&spec.class) {
        let error = format!("there is no priority class {:?}", spec.class.as_str());
        return Err(Failure::bad("class", error));
    }
    Ok(())
}

/// Chooses the zone: as asked for, by rule, by guarantee, or where there is room.
fn choose_zone(daemon: &Daemon, spec: &JobSpec) -> ZoneId {
    let own = &daemon.settings.zone;
    let configuration = daemon.configuration();
    let allowed = configuration.effect_on(&spec.all_labels()).zones;
    let guaranteed = configuration
        .guarantees
        .values()
        .find(|g| g.customer == spec.customer && spec.shape.fits_in(&g.shape))
        .map(|g| g.zone.clone());
    let (zone, why) = if let Some(zone) = &spec.zone {
        (zone.clone(), "asked for")
    } else if let Some(zone) = allowed.as_ref().and_then(|zones| zones.first()) {
        (zone.clone(), "by rule")
    } else if let Some(zone) = guaranteed {
        (zone, "holds the customer's guarantee")
    } else {
        (
            roomiest_zone(daemon, spec).unwrap_or_else(|| own.clone()),
            "has room",
        )
    };
    log::info!(target: "decision", job:% = spec.key(), zone:% = zone; "zone chosen: {why}");
    zone
}

/// Returns this zone if the job may start at once, else the one with most room.
fn roomiest_zone(daemon: &Daemon, spec: &JobSpec) -> Option<ZoneId> {
    let now = daemon.clock.now();
    let needed = spec.shape.total_accelerators();
    let own = &daemon.settings.zone;
    let mut members = lock(&daemon.members);
    members.handle_heartbeat(own_heartbeat(daemon, MemberTable::INTERVAL), now);
    let room = |h: &Heartbeat| {
        let load = h.placement?;
        let starts = load.free_accelerators >= needed && load.waiting_jobs == 0;
        let fits = load.total_accelerators >= needed;
        Some((
            starts,
            fits,
            h.zone == *own,
            std::cmp::Reverse(load.waiting_jobs),
            load.free_accelerators,
        ))
    };
    let holders = members.live(now).filter(|h| h.placement.is_some());
    holders.max_by_key(|h| room(h)).map(|h| h.zone.clone())
}

async fn accept(daemon: &Daemon, record: JobRecord) -> Result<(StatusCode, JobRecord), Failure> {
    let key = keys::job(&record.spec.key());
    let mut verdict = Verdict::NotRun;
    for _ in 0..ACCEPT_WRITES {
        let swapped = daemon.store.swap(&key, Expect::Absent, &record, None).await;
        daemon.note_answer(&swapped);
        match swapped {
            Ok(Swap::Applied(_)) => return Ok((StatusCode::CREATED, record)),
            Ok(Swap::Conflict(Some(entry))) => {
                let found: Option<JobRecord> = entry.read();
                return found.map_or_else(|| Err(unreadable()), |found| existing(&record, found));
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
    Err(Failure::unavailable(error, STORE_RETRY).with_verdict(verdict))
}

fn unreadable() -> Failure {
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    Failure::new(
        status,
        Verdict::MayHaveRun,
        "the job's record can't be read",
    )
}

/// Tells a repeated submission from another job of the same name.
fn existing(asked: &JobRecord, found: JobRecord) -> Result<(StatusCode, JobRecord), Failure> {
    if found.mark == asked.mark {
        return Ok((StatusCode::CREATED, found));
    }
    if found.spec == asked.spec {
        return Ok((StatusCode::OK, found));
    }
    let error = format!(
        "customer {} has another job {}",
        found.spec.customer, found.spec.id
    );
    Err(Failure::new(StatusCode::CONFLICT, Verdict::NotRun, error).with_field("id"))
}

/// Returns the key in a request's path.
fn key_of(request: &Request) -> Result<JobKey, Failure> {
    let bad =
        |field: &'static str| move |e: viz::types::ParamsError| Failure::bad(field, e.to_string());
    let customer: String = request.param("customer").map_err(bad("customer"))?;
    let id: String = request.param("id").map_err(bad("id"))?;
    let customer = customer
        .parse()
        .map_err(|e| Failure::bad("customer", format!("{e}")))?;
    let id = id.parse().map_err(|e| Failure::bad("id", format!("{e}")))?;
    Ok(JobKey::new(customer, id))
}

async fn read(daemon: &Daemon, key: &JobKey) -> Result<(JobRecord, u64), Failure> {
    let entry = daemon.store.get(&keys::job(key)).await;
    daemon.note_answer(&entry);
    let entry = entry.map_err(|e| {
        Failure::unavailable(format!("the store can't be read: {e}"), STORE_RETRY)
            .with_verdict(Verdict::MayHaveRun)
    })?;
    let missing = || Failure::missing(format!("there is no job {key}, or it ended over a day ago"));
    let entry = entry.ok_or_else(missing)?;
    let record = entry.read().ok_or_else(unreadable)?;
    Ok((record, entry.revision))
}

/// Tells where a job stands.
pub(crate) async fn status(daemon: &Daemon, request: &Request) -> Result<Response, Failure> {
    let (record, _) = read(daemon, &key_of(request)?).await?;
    let mut response = json(StatusCode::OK, &record);
    if let Some(verdict) = record.state.verdict() {
        let name = stairstall_core::protocol::header::VERDICT;
        crate::answer::set(response.headers_mut(), name, verdict.as_str());
    }
    Ok(response)
}

/// Lists jobs whose labels a selector matches.
pub(crate) async fn list(daemon: &Daemon, request: &Request) -> Result<Response, Failure> {
    let selector = selector_of(request)?;
    let listing = daemon.store.list(keys::JOBS).await;
    daemon.note_answer(&listing);
    let listing = listing
        .map_err(|e| Failure::unavailable(format!("the store can't be read: {e}"), STORE_RETRY))?;
    let records = listing
        .entries
        .iter()
        .filter_map(stairstall_store::Entry::read::<JobRecord>);
    let jobs = records
        .filter(|r| selector.matches(&r.spec.all_labels()))
        .collect();
    Ok(json(StatusCode::OK, &JobList { jobs }))
}

/// Reads the selector in a request's query; the empty one matches everything.
pub(crate) fn selector_of(request: &Request) -> Result<Selector, Failure> {
    let text = query_value(request, "selector").unwrap_or_default();
    text.parse()
        .map_err(|e| Failure::bad("selector", format!("{e}")))
}

/// Asks for a job's end; the placement holder stops it and records the verdict.
pub(crate) async fn cancel(daemon: &Daemon, request: &Request) -> Result<Response, Failure> {
    let key = key_of(request)?;
    for _ in 0..CANCEL_TRIES {
        let (record, revision) = read(daemon, &key).await?;
        if record.state.is_final() || record.cancel {
            return Ok(json(StatusCode::OK, &record));
        }
        let record = JobRecord {
            cancel: true,
            ..record
        };
        let expect = Expect::Revision(revision);
        // A lost answer shows as a record that asks for the end already.
        if let Ok(Swap::Applied(_)) = daemon
            .store
            .swap(&keys::job(&key), expect, &record, None)
            .await
        {
            return Ok(json(StatusCode::ACCEPTED, &record));
        }
    }
    let error = "the job's record could not be changed now; ask again";
    Err(Failure::unavailable(error, STORE_RETRY).with_verdict(Verdict::MayHaveRun))
}

/// Explains where a job stands, from its zone's placement holder where it can be asked.
pub(crate) async fn explain(daemon: &Daemon, request: &Request) -> Result<Response, Failure> {
    let key = key_of(request)?;
    if let Some(explanation) = ask_explanation(daemon, key.clone()).await {
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
