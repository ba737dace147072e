//! Serves operators: reads and changes the configuration.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairstall_core::config::{Change, Configuration, Head, HeadError, Kind, Revision, TailEntry};
use stairstall_core::protocol::{ConfigReply, WitnessAnswer, WitnessQuestion};
use stairstall_core::{Verdict, ZoneId};
use stairstall_store::{Expect, StoreError, Swap};
use viz::{Request, RequestExt, Response, StatusCode};

use crate::api::{query_value, read_json};
use crate::daemon::Daemon;
use crate::follow::take_head;
use crate::jobs::selector_of;
use crate::keys;
use crate::peers::{PeerClient, ask_witness, client, holder_address};
use crate::response::{ErrorResponse, STORE_RETRY, json};

/// How often a change without a base is tried against other operators' changes.
const APPEND_TRIES: u32 = 8;
/// Pause before the head is read again.
const APPEND_PAUSE: Duration = Duration::from_millis(10);

/// What became of a change.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Applied {
    /// The revision that it made, or would make.
    revision: Revision,
    /// Whether it was only tried.
    dry_run: bool,
}

/// What stands in the way of a change.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ConflictBody {
    verdict: Verdict,
    error: String,
    revision: Revision,
    /// Changes since the operator's base, as far as they are kept.
    changes: Vec<TailEntry>,
}

/// Outcome of one try to append.
enum Appended {
    Done(Revision),
    Raced,
}

/// Lists resources of a kind whose labels a selector matches.
pub(crate) fn get(daemon: &Daemon, request: &Request) -> Result<Response, ErrorResponse> {
    let kind: String = request
        .param("kind")
        .map_err(|e| ErrorResponse::bad_request("kind", e.to_string()))?;
    let kind: Kind = kind
        .parse()
        .map_err(|e: String| ErrorResponse::not_found(e).with_field("kind"))?;
    let selector = selector_of(request)?;
    let configuration = daemon.configuration();
    let mut resources = configuration.resources(kind);
    resources.retain(|r| selector.matches(r.labels()));
    Ok(json(
        StatusCode::OK,
        &ConfigReply {
            revision: configuration.revision,
            resources,
        },
    ))
}

/// Applies a change, or only says what it would do.
pub(crate) async fn change(
    daemon: &Arc<Daemon>,
    request: &mut Request,
) -> Result<Response, ErrorResponse> {
    let change: Change = read_json(daemon, request).await?;
    let dry_run = query_value(request, "dry-run").is_some_and(|v| v == "true");
    for _ in 0..APPEND_TRIES {
        let (head, at) = read_head(daemon).await?;
        if let Some(revision) = head.revision_of(&change) {
            return Ok(json(
                StatusCode::OK,
                &Applied {
                    revision,
                    dry_run: false,
                },
            ));
        }
        let current = daemon.configuration();
        let (next_head, next) = match head.append(&current, &change) {
            Ok(appended) => appended,
            Err(HeadError::OutOfStep) => {
                tokio::time::sleep(APPEND_PAUSE).await;
                continue;
            }
            Err(HeadError::Conflict(revision)) => return Ok(conflict(&head, &change, revision)),
            Err(HeadError::Invalid(error)) => {
                return Err(ErrorResponse::bad_request("operations", error.to_string()));
            }
        };
        check_guarantees(daemon, &current, &next).await?;
        if dry_run {
            return Ok(json(
                StatusCode::OK,
                &Applied {
                    revision: next.revision,
                    dry_run,
                },
            ));
        }
        match append(daemon, next_head, at, &next, &change).await? {
            Appended::Done(revision) => {
                log::info!(target: "config", change:% = change.id, revision = revision.0;
                    "change accepted");
                daemon.metrics.count("config.accepted");
                return Ok(json(StatusCode::OK, &Applied { revision, dry_run }));
            }
            Appended::Raced => {}
        }
    }
    let error = "other operators' changes came first each time; try again";
    Err(ErrorResponse::unavailable(error, STORE_RETRY))
}

/// Reads the newest head and brings it into force here.
async fn read_head(daemon: &Daemon) -> Result<(Head, Expect), ErrorResponse> {
    let silent = |e: StoreError| {
        ErrorResponse::unavailable(format!("the store can't be read: {e}"), STORE_RETRY)
    };
    let entry = daemon.store.get(keys::CONFIG_HEAD).await;
    daemon.note_answer(&entry);
    let Some(entry) = entry.map_err(silent)? else {
        return Ok((Head::default(), Expect::Absent));
    };
    let head: Head = entry.read().ok_or_else(|| {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        ErrorResponse::new(
            status,
            Verdict::NotRun,
            "the configuration's head can't be read",
        )
    })?;
    take_head(daemon, &head).await.map_err(silent)?;
    Ok((head, Expect::Revision(entry.revision)))
}

fn conflict(head: &Head, change: &Change, revision: Revision) -> Response {
    let base = change.base.unwrap_or_default();
    let body = ConflictBody {
        verdict: Verdict::NotRun,
        error: format!("the configuration is at revision {revision} by now, not {base}"),
        revision,
        changes: head
            .tail
            .iter()
            .filter(|e| e.revision > base)
            .cloned()
            .collect(),
    };
    let mut response = json(StatusCode::CONFLICT, &body);
    let name = stairstall_core::protocol::header::VERDICT;
    crate::response::set(response.headers_mut(), name, body.verdict.as_str());
    response
}

/// Appends a change; a lost answer is resolved by looking for the change's id.
async fn append(
    daemon: &Daemon,
    mut head: Head,
    at: Expect,
    next: &Configuration,
    change: &Change,
) -> Result<Appended, ErrorResponse> {
    if head.wants_snapshot() {
        let key = keys::config_snapshot(next.revision);
        // Whoever loses the race below leaves a snapshot that no head names.
        let written = daemon.store.swap(&key, Expect::Absent, next, None).await;
        if matches!(written, Ok(Swap::Applied(_))) {
            head = head.cut();
        }
    }
    let swapped = daemon.store.swap(keys::CONFIG_HEAD, at, &head, None).await;
    daemon.note_answer(&swapped);
    let error = match swapped {
        Ok(Swap::Applied(_)) => {
            let _ = take_head(daemon, &head).await;
            return Ok(Appended::Done(head.revision));
        }
        Ok(Swap::Conflict(_)) => return Ok(Appended::Raced),
        Err(error) => error,
    };
    if error.verdict() == Verdict::NotRun {
        let text = format!("the store can't be reached: {error}");
        return Err(ErrorResponse::unavailable(text, STORE_RETRY));
    }
    let unknown = |_| {
        let text = "the store does not answer: whether the change is accepted is not known; \
                    send it again with the same id to learn it";
        ErrorResponse::unavailable(text, STORE_RETRY).with_verdict(Verdict::MayHaveRun)
    };
    let (found, _) = read_head(daemon).await.map_err(unknown)?;
    Ok(found
        .revision_of(change)
        .map_or(Appended::Raced, Appended::Done))
}

/// Asks the placement holder of each zone whose guarantees change for a witness.
async fn check_guarantees(
    daemon: &Arc<Daemon>,
    current: &Configuration,
    next: &Configuration,
) -> Result<(), ErrorResponse> {
    let mut zones: Vec<ZoneId> = next.guarantees.values().map(|g| g.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    for zone in zones {
        let (before, after) = (current.guarantees_in(&zone), next.guarantees_in(&zone));
        if before == after {
            continue;
        }
        match ask_zone(daemon, &zone, WitnessQuestion { guarantees: after }).await {
            Some(WitnessAnswer::Kept) => {}
            Some(WitnessAnswer::NotKept { reason }) => {
                let failure = ErrorResponse::new(StatusCode::CONFLICT, Verdict::NotRun, reason);
                return Err(failure.with_field("guarantee"));
            }
            Some(WitnessAnswer::NotHolder) | None => {
                let error = format!("the placement holder of zone {zone} can't be asked");
                return Err(ErrorResponse::unavailable(error, STORE_RETRY).with_field("guarantee"));
            }
        }
    }
    Ok(())
}

async fn ask_zone(
    daemon: &Arc<Daemon>,
    zone: &ZoneId,
    question: WitnessQuestion,
) -> Option<WitnessAnswer> {
    if *zone == daemon.settings.zone {
        let own = ask_witness(daemon, question.clone()).await;
        if own != WitnessAnswer::NotHolder {
            return Some(own);
        }
    }
    client(holder_address(daemon, zone)?)?
        .witness(question)
        .await
        .ok()
}
