mod state;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use stairstall_core::placement::Capacity;
use stairstall_core::protocol::SyncRequest;
use tokio::time::Instant;

use crate::server::{Answer, Server, json, read_json};
pub use state::{StartRecord, WorkerState};

/// How often tasks are looked after without any request.
const TICK: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct Shared {
    state: Mutex<WorkerState>,
    born: Instant,
    frozen: AtomicBool,
}

/// A worker with accelerators that runs made-up tasks.
#[derive(Debug)]
pub struct WorkerStandin {
    server: Server,
    shared: Arc<Shared>,
    ticker: tokio::task::JoinHandle<()>,
}

impl WorkerStandin {
    /// Starts a worker; its tasks run `speed` times as fast as they say.
    ///
    /// # Errors
    ///
    /// Returns why no port could be bound.
    pub async fn start(incarnation: u64, capacity: Capacity, speed: u32) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(WorkerState::new(incarnation, capacity, speed)),
            born: Instant::now(),
            frozen: AtomicBool::new(false),
        });
        let serving = Arc::clone(&shared);
        let server = Server::start(move |request| Box::pin(serve(Arc::clone(&serving), request)));
        let ticking = Arc::clone(&shared);
        let ticker = tokio::spawn(async move {
            loop {
                tokio::time::sleep(TICK).await;
                let now = ticking.born.elapsed();
                ticking.lock().advance(now);
            }
        });
        Ok(Self {
            server: server.await?,
            shared,
            ticker,
        })
    }

    /// Returns where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Makes it answer nothing, or answer again; its leases run on.
    pub fn set_frozen(&self, frozen: bool) {
        self.shared.frozen.store(frozen, Ordering::SeqCst);
    }

    /// Returns every start of a task, in order.
    #[must_use]
    pub fn starts(&self) -> Vec<StartRecord> {
        self.shared.lock().starts().to_vec()
    }

    /// Returns how many syncs were served and how many were refused as stale.
    #[must_use]
    pub fn syncs(&self) -> (u64, u64) {
        self.shared.lock().syncs()
    }

    /// Returns how many tasks run now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.shared.lock().running()
    }
}

impl Drop for WorkerStandin {
    fn drop(&mut self) {
        self.ticker.abort();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Option<Answer> {
    while shared.frozen.load(Ordering::SeqCst) {
        tokio::time::sleep(TICK).await;
    }
    let sync: SyncRequest = read_json(request).await?;
    let now = shared.born.elapsed();
    match shared.lock().sync(&sync, now) {
        Ok(reply) => Some(json(StatusCode::OK, &reply)),
        Err(stale) => Some(json(StatusCode::CONFLICT, &stale)),
    }
}
