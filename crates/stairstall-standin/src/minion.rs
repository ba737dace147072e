use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use stairstall_core::protocol::header;

use crate::server::{Answer, Server, answer};

/// Header that asks the stand-in to work for so many milliseconds.
pub const WORK_MS: &str = "standin-work-ms";
/// Header that asks the stand-in to break off: `before` or `during` the answer.
pub const BREAK: &str = "standin-break";
/// Header that asks for an answer of so many bytes.
pub const ANSWER_BYTES: &str = "standin-answer-bytes";
/// Header that asks for an answer without a length, in chunks.
pub const CHUNKED: &str = "standin-chunked";
/// How long the stand-in waits before it breaks off an answer.
const BREAK_PAUSE: Duration = Duration::from_millis(50);
/// Pieces that a long answer is sent in.
const CHUNK_BYTES: usize = 16 * 1024;

/// One request that a minion began to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MinionRecord {
    /// The request id, as the daemon passed it on.
    pub request: String,
    /// Whether the whole answer was sent.
    pub finished: bool,
}

#[derive(Debug)]
struct Shared {
    slots: u16,
    busy: AtomicU16,
    most_busy: AtomicU16,
    refused: AtomicU16,
    leaving: AtomicBool,
    records: Mutex<Vec<MinionRecord>>,
}

/// A minion that runs a bounded number of requests and refuses more.
#[derive(Debug)]
pub struct MinionStandin {
    server: Server,
    shared: Arc<Shared>,
}

impl MinionStandin {
    /// Starts a minion with `slots` slots.
    ///
    /// # Errors
    ///
    /// Returns why no port could be bound.
    pub async fn start(slots: u16) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            slots,
            busy: AtomicU16::new(0),
            most_busy: AtomicU16::new(0),
            refused: AtomicU16::new(0),
            leaving: AtomicBool::new(false),
            records: Mutex::default(),
        });
        let serving = Arc::clone(&shared);
        let server = Server::start(move |request| Box::pin(serve(Arc::clone(&serving), request)));
        Ok(Self {
            server: server.await?,
            shared,
        })
    }

    /// Returns where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what it began to run, in order.
    #[must_use]
    pub fn records(&self) -> Vec<MinionRecord> {
        self.shared
            .records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the most requests that it ran at a time.
    #[must_use]
    pub fn most_busy(&self) -> u16 {
        self.shared.most_busy.load(Ordering::SeqCst)
    }

    /// Returns how many requests it refused before starting them.
    #[must_use]
    pub fn refused(&self) -> u16 {
        self.shared.refused.load(Ordering::SeqCst)
    }

    /// Makes it refuse new requests with word that it leaves.
    pub fn set_leaving(&self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
    }
}

/// A slot that is taken until it is dropped.
struct Slot(Arc<Shared>);

impl Slot {
    fn take(shared: &Arc<Shared>) -> Option<Self> {
        let free = |busy: u16| (busy < shared.slots).then_some(busy + 1);
        let before = shared
            .busy
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, free)
            .ok()?;
        shared.most_busy.fetch_max(before + 1, Ordering::SeqCst);
        Some(Self(Arc::clone(shared)))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Option<Answer> {
    if shared.leaving.load(Ordering::SeqCst) {
        let mut refusal = refuse(&shared);
        refusal.headers_mut().insert(
            header::LEAVING,
            hyper::header::HeaderValue::from_static("1"),
        );
        return Some(refusal);
    }
    let Some(slot) = Slot::take(&shared) else {
        return Some(refuse(&shared));
    };
    let id = text(&request, header::REQUEST_ID).unwrap_or_default();
    let index = {
        let mut records = shared
            .records
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        records.push(MinionRecord {
            request: id.clone(),
            finished: false,
        });
        records.len() - 1
    };
    let work = number(&request, WORK_MS).unwrap_or(0);
    let length = number(&request, ANSWER_BYTES).unwrap_or(0);
    let broken = text(&request, BREAK);
    let chunked = text(&request, CHUNKED).is_some();
    let echo = request.into_body().collect().await.ok()?.to_bytes();
    if work > 0 {
        tokio::time::sleep(Duration::from_millis(work)).await;
    }
    if broken.as_deref() == Some("before") {
        return None;
    }
    let mut body = format!("answer to {id}: ").into_bytes();
    body.extend_from_slice(&echo);
    let length = usize::try_from(length).unwrap_or(0).max(body.len());
    body.resize(length, b'.');
    let mut response = stream(
        shared,
        slot,
        index,
        &body,
        broken.as_deref() == Some("during"),
    );
    if !chunked {
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_LENGTH, length.into());
    }
    Some(response)
}

/// Sends a body piece by piece; the slot is held until the last one.
fn stream(shared: Arc<Shared>, slot: Slot, index: usize, body: &[u8], broken: bool) -> Answer {
    let mut pieces: Vec<Bytes> = body
        .chunks(CHUNK_BYTES)
        .map(Bytes::copy_from_slice)
        .collect();
    let last = pieces.len().saturating_sub(1);
    if broken {
        pieces.truncate(pieces.len() / 2);
    }
    let sent = futures::stream::iter(pieces)
        .enumerate()
        .map(move |(number, piece)| {
            let _held = &slot;
            if number == last {
                let mut records = shared
                    .records
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                records[index].finished = true;
            }
            Ok(Frame::data(piece))
        });
    let end = futures::stream::iter(broken.then_some(())).then(|()| async {
        // The head and the first pieces are on their way before the connection breaks.
        tokio::time::sleep(BREAK_PAUSE).await;
        Err(std::io::Error::other("broken off"))
    });
    let body = StreamBody::new(sent.chain(end));
    Response::new(BodyExt::boxed(body))
}

fn refuse(shared: &Shared) -> Answer {
    shared.refused.fetch_add(1, Ordering::SeqCst);
    let mut refusal = answer(StatusCode::SERVICE_UNAVAILABLE, "no slot is free");
    let not_run = hyper::header::HeaderValue::from_static("not-run");
    refusal.headers_mut().insert(header::VERDICT, not_run);
    refusal
}

fn text(request: &Request<Incoming>, name: &str) -> Option<String> {
    request
        .headers()
        .get(name)?
        .to_str()
        .ok()
        .map(str::to_owned)
}

fn number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    text(request, name)?.parse().ok()
}
