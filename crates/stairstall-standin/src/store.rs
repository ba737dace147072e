mod state;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use stairstall_store::wire::{
    KeepAliveResponse, LeaseMessage, RangeRequest, TxnRequest, WatchLine, WatchRequest, WatchResult,
};
use tokio::sync::watch;

use crate::server::{Answer, Server, answer, json, read_json};
use state::State;

/// How often expired leases are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Faults of the store, changed at any time.
#[derive(Debug, Default)]
pub struct StoreFaults {
    down: AtomicBool,
    delay_ms: AtomicU64,
    lost_answers: AtomicU64,
}

impl StoreFaults {
    /// Makes the store answer nothing, or answer again; open watches end.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Makes each call take this much longer.
    pub fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Makes the next `count` writes take effect without an answer.
    pub fn lose_answers(&self, count: u64) {
        self.lost_answers.store(count, Ordering::SeqCst);
    }

    fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    fn take_lost_answer(&self) -> bool {
        let take = |n: u64| n.checked_sub(1);
        self.lost_answers
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
            .is_ok()
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    faults: StoreFaults,
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

/// The platform's key-value service.
#[derive(Debug)]
pub struct StoreStandin {
    server: Server,
    shared: Arc<Shared>,
    expiry: tokio::task::JoinHandle<()>,
}

impl StoreStandin {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Returns why no port could be bound.
    pub async fn start() -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: watch::channel(0).0,
            faults: StoreFaults::default(),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            watches: AtomicU64::new(0),
        });
        let serving = Arc::clone(&shared);
        let server = Server::start(move |request| Box::pin(serve(Arc::clone(&serving), request)));
        let expiring = Arc::clone(&shared);
        let expiry = tokio::spawn(async move {
            loop {
                tokio::time::sleep(EXPIRY_INTERVAL).await;
                // A store that is down keeps its leases, as one that restarts would.
                if !expiring.faults.is_down() {
                    expiring.update(|state| state.expire(EXPIRY_INTERVAL));
                }
            }
        });
        Ok(Self {
            server: server.await?,
            shared,
            expiry,
        })
    }

    /// Returns where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the faults.
    #[must_use]
    pub fn faults(&self) -> &StoreFaults {
        &self.shared.faults
    }

    /// Returns calls that read, calls that write, and watches, so far.
    #[must_use]
    pub fn calls(&self) -> (u64, u64, u64) {
        let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
        (
            count(&self.shared.reads),
            count(&self.shared.writes),
            count(&self.shared.watches),
        )
    }

    /// Loses every lease, as a store that is restored from an older copy does.
    pub fn drop_leases(&self) {
        self.shared.update(State::drop_leases);
    }

    /// Returns all keys with a prefix and their values as text.
    #[must_use]
    pub fn dump(&self, prefix: &str) -> Vec<(String, String)> {
        self.shared.lock().dump(prefix)
    }
}

impl Drop for StoreStandin {
    fn drop(&mut self) {
        self.expiry.abort();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.lock();
        let out = change(&mut state);
        self.changed.send_replace(state.revision());
        out
    }
}

async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Option<Answer> {
    let delay = Duration::from_millis(shared.faults.delay_ms.load(Ordering::SeqCst));
    tokio::time::sleep(delay).await;
    if shared.faults.is_down() {
        return None;
    }
    match request.uri().path().to_owned().as_str() {
        "/v3/kv/range" => {
            shared.reads.fetch_add(1, Ordering::SeqCst);
            let range: RangeRequest = read_json(request).await?;
            Some(json(StatusCode::OK, &shared.lock().range(&range)))
        }
        "/v3/kv/txn" => {
            let txn: TxnRequest = read_json(request).await?;
            if !shared.lock().has_leases(&txn) {
                return Some(answer(StatusCode::NOT_FOUND, "requested lease not found"));
            }
            write(&shared, |state| state.transact(&txn))
        }
        "/v3/lease/grant" => {
            let grant: LeaseMessage = read_json(request).await?;
            write(&shared, |state| state.grant(grant.ttl.0))
        }
        "/v3/lease/keepalive" => {
            let lease: LeaseMessage = read_json(request).await?;
            write(&shared, |state| KeepAliveResponse {
                result: state.keep_alive(lease.id.0),
            })
        }
        "/v3/lease/revoke" => {
            let lease: LeaseMessage = read_json(request).await?;
            write(&shared, |state| state.revoke(lease.id.0))
        }
        "/v3/watch" => {
            shared.watches.fetch_add(1, Ordering::SeqCst);
            let watch: WatchRequest = read_json(request).await?;
            Some(stream_watch(shared, watch))
        }
        _ => Some(answer(StatusCode::NOT_FOUND, "no such call")),
    }
}

fn write<T: serde::Serialize>(
    shared: &Shared,
    change: impl FnOnce(&mut State) -> T,
) -> Option<Answer> {
    shared.writes.fetch_add(1, Ordering::SeqCst);
    let out = shared.update(change);
    if shared.faults.take_lost_answer() {
        return None;
    }
    Some(json(StatusCode::OK, &out))
}

/// Streams one line for each batch of events, as long as the store is up.
fn stream_watch(shared: Arc<Shared>, watch: WatchRequest) -> Answer {
    let create = watch.create_request;
    let from = create.start_revision.0.max(1);
    let changes = shared.changed.subscribe();
    let created = WatchLine {
        result: WatchResult {
            created: true,
            ..WatchResult::default()
        },
    };
    let first = futures::stream::once(async move { Ok(line(&created)) });
    let rest = futures::stream::unfold((from, changes), move |(from, mut changes)| {
        let (shared, create) = (Arc::clone(&shared), create.clone());
        async move {
            loop {
                if shared.faults.is_down() {
                    return Some((Err(std::io::Error::other("store is down")), (from, changes)));
                }
                changes.borrow_and_update();
                let (events, next) = shared.lock().events(&create, from);
                if !events.is_empty() {
                    let delay = shared.faults.delay_ms.load(Ordering::SeqCst);
                    tokio::time::sleep(Duration::from_millis(delay)).await;
                    let result = WatchResult {
                        events,
                        ..WatchResult::default()
                    };
                    return Some((Ok(line(&WatchLine { result })), (next, changes)));
                }
                let _ = tokio::time::timeout(EXPIRY_INTERVAL, changes.changed()).await;
            }
        }
    });
    let body = StreamBody::new(first.chain(rest));
    Response::new(BodyExt::boxed(body))
}

fn line(line: &WatchLine) -> Frame<Bytes> {
    let mut bytes = serde_json::to_vec(line).unwrap_or_default();
    bytes.push(b'\n');
    Frame::data(Bytes::from(bytes))
}
