use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::server::accept_next;

/// What a link does with the bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Passes them on.
    Pass,
    /// Passes them on late.
    Delay(Duration),
    /// Breaks every connection and takes no new one.
    Cut,
    /// Passes requests on and swallows the answers.
    LoseAnswers,
    /// Keeps connections open and passes nothing on.
    Silent,
}

/// Which way open connections go silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Silence {
    /// Both ways.
    Both,
    /// Only from the target back: requests arrive.
    Answers,
}

/// Which connections have gone silent for good: those opened before the last time.
#[derive(Debug, Clone, Copy, Default)]
struct Silenced {
    both_before: u64,
    answers_before: u64,
}

/// A TCP link to one address that can be cut, delayed or made deaf.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    mode: Arc<watch::Sender<LinkMode>>,
    silenced: Arc<watch::Sender<Silenced>>,
    opened: Arc<AtomicU64>,
    target: Arc<watch::Sender<Option<SocketAddr>>>,
    task: JoinHandle<()>,
}

impl Link {
    /// Starts a link to `target`.
    ///
    /// # Errors
    ///
    /// Returns why no port could be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let link = Self::start_without_target().await?;
        link.set_target(target);
        Ok(link)
    }

    /// Starts a link whose connections wait until [`Link::set_target`] names where they go.
    ///
    /// # Errors
    ///
    /// Returns why no port could be bound.
    pub async fn start_without_target() -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (mode, _) = watch::channel(LinkMode::Pass);
        let mode = Arc::new(mode);
        let silenced = Arc::new(watch::channel(Silenced::default()).0);
        let opened = Arc::new(AtomicU64::new(0));
        let target = Arc::new(watch::channel(None).0);
        let task = tokio::spawn(accept(
            listener,
            Arc::clone(&target),
            Arc::clone(&mode),
            Arc::clone(&silenced),
            Arc::clone(&opened),
        ));
        Ok(Self {
            address,
            mode,
            silenced,
            opened,
            target,
            task,
        })
    }

    /// Sets where the link's connections go.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Returns how many connections were opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }

    /// Makes the connections that are open silent for good, without a reset; new ones work.
    pub fn silence_open(&self, silence: Silence) {
        let opened = self.opened();
        self.silenced.send_modify(|silenced| match silence {
            Silence::Both => silenced.both_before = opened,
            Silence::Answers => silenced.answers_before = opened,
        });
    }

    /// Returns where the link listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the link does, for open connections too.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: Arc<watch::Sender<Option<SocketAddr>>>,
    mode: Arc<watch::Sender<LinkMode>>,
    silenced: Arc<watch::Sender<Silenced>>,
    opened: Arc<AtomicU64>,
) {
    let mut connections = JoinSet::new();
    loop {
        let inner = accept_next(&listener).await;
        while connections.try_join_next().is_some() {}
        let mode = mode.subscribe();
        if *mode.borrow() == LinkMode::Cut {
            continue;
        }
        let number = opened.fetch_add(1, Ordering::SeqCst);
        let silenced = silenced.subscribe();
        let mut target = target.subscribe();
        connections.spawn(async move {
            let Some(target) = target.wait_for(Option::is_some).await.ok().and_then(|t| *t) else {
                return;
            };
            let Ok(outer) = TcpStream::connect(target).await else {
                return;
            };
            let _ = (inner.set_nodelay(true), outer.set_nodelay(true));
            let (inner_read, inner_write) = inner.into_split();
            let (outer_read, outer_write) = outer.into_split();
            tokio::select! {
                () = pump(inner_read, outer_write, mode.clone(), || {
                    number < silenced.borrow().both_before
                }, false) => {}
                () = pump(outer_read, inner_write, mode.clone(), || {
                    let silenced = *silenced.borrow();
                    number < silenced.both_before.max(silenced.answers_before)
                }, true) => {}
                () = until_cut(mode) => {}
            }
        });
    }
}

async fn until_cut(mut mode: watch::Receiver<LinkMode>) {
    let _ = mode.wait_for(|mode| *mode == LinkMode::Cut).await;
}

async fn pump<R, W>(
    mut from: R,
    mut to: W,
    mode: watch::Receiver<LinkMode>,
    is_silent: impl Fn() -> bool,
    answers: bool,
) where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        if is_silent() {
            continue;
        }
        let now = *mode.borrow();
        match now {
            LinkMode::Delay(delay) => tokio::time::sleep(delay).await,
            LinkMode::LoseAnswers if answers => continue,
            LinkMode::Silent => continue,
            _ => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
