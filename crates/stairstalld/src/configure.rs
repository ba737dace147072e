//! Handlers for operators that read and change the configuration.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairstall_core::config::{
    Change, Configuration, Head, HeadError, ResourceKind, Revision, TailEntry,
};
use stairstall_core::protocol::{ConfigReply, GuaranteeCheckReply, GuaranteeCheckRequest};
use stairstall_core::{Verdict, ZoneId};
use stairstall_store::{Expect, StoreError, Swap};
use viz::{Request, RequestExt, Response, StatusCode};

use crate::api::{query_value, read_json};
use crate::daemon::Daemon;
use crate::follow::apply_head;
use crate::jobs::selector_of;
use crate::keys;
use crate::peers::{PeerClient, check_own_guarantees, client, holder_address};
use crate::response::{ErrorResponse, STORE_RETRY_AFTER, json};

/// Maximum number of attempts to append a change while other operators' changes come first.
const APPEND_ATTEMPTS: u32 = 8;
/// Delay before the head is read again, if the configuration here does not match it yet.
const APPEND_DELAY: Duration = Duration::from_millis(10);

/// Response to a change that is accepted, or would be.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Applied {
    /// The revision that the change made, or would make.
    revision: Revision,
    /// Whether the change was only checked and not stored.
    dry_run: bool,
}

/// Response to a change whose base is not the current revision any more.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ConflictBody {
    verdict: Verdict,
    error: String,
    revision: Revision,
    /// Changes since the operator's base, as far as the head still holds them.
    changes: Vec<TailEntry>,
}

/// Outcome of one attempt to append a change.
enum AppendOutcome {
    Done(Revision),
    /// Another change was appended first.
    Raced,
}

/// Lists the resources of a kind whose labels match a selector.
pub(crate) fn get(daemon: &Daemon, request: &Request) -> Result<Response, ErrorResponse> {
    let kind: String = request
        .param("kind")
        .map_err(|e| ErrorResponse::bad_request("kind", e.to_string()))?;
    let kind: ResourceKind = kind
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

/// Applies a change, or only checks it on a dry run.
pub(crate) async fn change(
    daemon: &Arc<Daemon>,
    request: &mut Request,
) -> Result<Response, ErrorResponse> {
    let change: Change = read_json(daemon, request).await?;
    let dry_run = query_value(request, "dry-run").is_some_and(|v| v == "true");
    for _ in 0..APPEND_ATTEMPTS {
        let (head, expect) = read_head(daemon).await?;
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
            Err(HeadError::RevisionMismatch) => {
                tokio::time::sleep(APPEND_DELAY).await;
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
        match append(daemon, next_head, expect, &next, &change).await? {
            AppendOutcome::Done(revision) => {
                log::info!(target: "config", change:% = change.id, revision = revision.0;
                    "change accepted");
                daemon.metrics.count("config.accepted");
                return Ok(json(StatusCode::OK, &Applied { revision, dry_run }));
            }
            AppendOutcome::Raced => {}
        }
    }
    let error = "other operators' changes came first each time; try again";
    Err(ErrorResponse::unavailable(error, STORE_RETRY_AFTER))
}

/// Reads the newest head from the store and applies it here.
async fn read_head(daemon: &Daemon) -> Result<(Head, Expect), ErrorResponse> {
    let unavailable = |e: StoreError| {
        ErrorResponse::unavailable(format!("the store can't be read: {e}"), STORE_RETRY_AFTER)
    };
    let entry = daemon.store.get(keys::CONFIG_HEAD).await;
    daemon.record_store_result(&entry);
    let Some(entry) = entry.map_err(unavailable)? else {
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
    apply_head(daemon, &head).await.map_err(unavailable)?;
    Ok((head, Expect::Revision(entry.revision)))
}

/// Returns the response to a change that is based on an old revision.
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
    crate::response::set_header(response.headers_mut(), name, body.verdict.as_str());
    response
}

/// Appends a change. If the store's answer is lost, looks for the change's id in the new head.
async fn append(
    daemon: &Daemon,
    mut head: Head,
    expect: Expect,
    next: &Configuration,
    change: &Change,
) -> Result<AppendOutcome, ErrorResponse> {
    if head.needs_snapshot() {
        let key = keys::config_snapshot(next.revision);
        // If another change is appended first, this snapshot stays and no head refers to it.
        let swapped = daemon.store.swap(&key, Expect::Absent, next, None).await;
        if matches!(swapped, Ok(Swap::Applied(_))) {
            head = head.truncate_tail();
        }
    }
    let swapped = daemon
        .store
        .swap(keys::CONFIG_HEAD, expect, &head, None)
        .await;
    daemon.record_store_result(&swapped);
    let error = match swapped {
        Ok(Swap::Applied(_)) => {
            let _ = apply_head(daemon, &head).await;
            return Ok(AppendOutcome::Done(head.revision));
        }
        Ok(Swap::Conflict(_)) => return Ok(AppendOutcome::Raced),
        Err(error) => error,
    };
    if error.verdict() == Verdict::NotRun {
        let text = format!("the store can't be reached: {error}");
        return Err(ErrorResponse::unavailable(text, STORE_RETRY_AFTER));
    }
    let unknown = |_| {
        let text = "the store does not answer: whether the change is accepted is not known; \
                    send it again with the same id to learn it";
        ErrorResponse::unavailable(text, STORE_RETRY_AFTER).with_verdict(Verdict::MayHaveRun)
    };
    let (found, _) = read_head(daemon).await.map_err(unknown)?;
    Ok(found
        .revision_of(change)
        .map_or(AppendOutcome::Raced, AppendOutcome::Done))
}

/// Asks the placement holder of each zone whose guarantees change for a guarantee check. A zone
/// without guarantees after the change is not asked.
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
        match check_guarantees_in(daemon, &zone, GuaranteeCheckRequest { guarantees: after }).await
        {
            Some(GuaranteeCheckReply::Kept) => {}
            Some(GuaranteeCheckReply::NotKept { reason }) => {
                let error = ErrorResponse::new(StatusCode::CONFLICT, Verdict::NotRun, reason);
                return Err(error.with_field("guarantee"));
            }
            Some(GuaranteeCheckReply::NotHolder) | None => {
                let error = format!("the placement holder of zone {zone} can't be asked");
                return Err(
                    ErrorResponse::unavailable(error, STORE_RETRY_AFTER).with_field("guarantee")
                );
            }
        }
    }
    Ok(())
}

/// Returns the reply of the zone's placement holder; none if it can't be asked.
async fn check_guarantees_in(
    daemon: &Arc<Daemon>,
    zone: &ZoneId,
    question: GuaranteeCheckRequest,
) -> Option<GuaranteeCheckReply> {
    if *zone == daemon.settings.zone {
        let own = check_own_guarantees(daemon, question.clone()).await;
        if own != GuaranteeCheckReply::NotHolder {
            return Some(own);
        }
    }
    client(holder_address(daemon, zone)?)?
        .check_guarantees(question)
        .await
        .ok()
}
