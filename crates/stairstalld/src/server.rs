//! HTTP server for callers, health checks and metrics. A planned stop drops no request that has
//! arrived.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use viz::{Responder, Router, Tree};

use crate::intake::{CloseCause, ConnectionHandle, Intake, OpenConnection};

/// How long a stopping server reads on before it takes a connection for idle, or the queue of
/// connections that wait to be accepted for empty.
const QUIET: Duration = Duration::from_millis(50);
/// Longest time that a wait of [`QUIET`] may take. After a longer one the process has not run for a
/// while, and what arrived meanwhile may not have been read.
const QUIET_ON_TIME: Duration = Duration::from_millis(100);
/// Number of waits after which a process that never runs for that long goes on with its stop.
const QUIET_ATTEMPTS: u32 = 3;
/// Delay after a connection could not be accepted for lack of resources, such as open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often a stopping server tries again after that.
const ACCEPT_RETRIES: u32 = 50;

/// The address that a request came from; found in the extensions of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallerAddress(pub(crate) SocketAddr);

/// Outcome of accepting a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Accepted {
    /// It is served.
    Connection,
    /// It was closed before it was accepted.
    Nothing,
    /// It waits on, since resources such as open files are lacking.
    LacksResources,
}

/// Serves HTTP/1.1 on a bound address.
pub(crate) struct Server {
    listener: TcpListener,
    tree: Arc<Tree>,
    connections: http1::Builder,
    /// What its connections hold.
    intake: Arc<Intake>,
    open: JoinSet<()>,
    /// Becomes true when connections should close once they are idle.
    closing: watch::Sender<bool>,
}

impl Server {
    /// Creates a server. A caller may take `head_timeout` to send a request's head, or leave its
    /// connection idle for as long.
    pub(crate) fn new(
        listener: TcpListener,
        router: Router,
        head_timeout: Duration,
        intake: Arc<Intake>,
    ) -> Self {
        let mut connections = http1::Builder::new();
        connections
            .timer(TokioTimer::new())
            .header_read_timeout(head_timeout)
            .max_buf_size(intake.limits().head_bytes);
        Self {
            intake,
            listener,
            tree: Arc::new(router.into()),
            connections,
            open: JoinSet::new(),
            closing: watch::channel(false).0,
        }
    }

    /// Serves until `stop` is ready, then answers every request that has arrived by then.
    ///
    /// The system receives connections and requests while this process does not run. They are
    /// accepted and read before the listener and idle connections are closed.
    pub(crate) async fn run_until(mut self, stop: impl Future<Output = ()>) {
        let mut stop = pin!(stop);
        loop {
            tokio::select! {
                biased;
                () = &mut stop => break,
                _ = self.accept() => {}
            }
        }
        self.closing.send_replace(true);
        self.accept_waiting().await;
        let Self {
            listener, mut open, ..
        } = self;
        drop(listener);
        while open.join_next().await.is_some() {}
    }

    /// Accepts the connections that wait for it. Idle connections close meanwhile, which frees
    /// resources that were lacking.
    async fn accept_waiting(&mut self) {
        let mut quiet = Box::pin(quiet_period());
        let mut retries = 0;
        while retries < ACCEPT_RETRIES {
            tokio::select! {
                biased;
                accepted = self.accept() => if accepted == Accepted::LacksResources {
                    retries += 1;
                    quiet.set(quiet_period());
                },
                () = &mut quiet => return,
            }
        }
    }

    /// Accepts one connection and serves it in the background.
    async fn accept(&mut self) -> Accepted {
        match self.listener.accept().await {
            Ok((stream, address)) => {
                while self.open.try_join_next().is_some() {}
                self.serve(stream, address);
                Accepted::Connection
            }
            Err(error) => {
                log::warn!(target: "listen", error:% = error; "a connection could not be accepted");
                if is_connection_error(&error) {
                    return Accepted::Nothing;
                }
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                Accepted::LacksResources
            }
        }
    }

    fn serve(&mut self, stream: TcpStream, address: SocketAddr) {
        let Some(open) = self.intake.admit(address) else {
            log::info!(target: "listen", caller:% = address; "refused: all connections are being answered");
            return;
        };
        // The head and the body of a response are often two writes. With Nagle's algorithm the
        // second one waits for the caller's delayed acknowledgement, about 40 ms.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(target: "listen", caller:% = address, error:% = error; "small writes may be delayed");
        }
        let responder = CountedResponder {
            responder: Responder::new(Arc::clone(&self.tree), Some(Arc::new(address))),
            handle: open.handle().clone(),
            caller: CallerAddress(address),
        };
        let connection = self
            .connections
            .serve_connection(TokioIo::new(stream), responder);
        let closing = self.closing.subscribe();
        self.open.spawn(async move {
            if let Err(cause) = serve_connection(connection, &open, closing).await {
                open.log_close(cause);
            }
        });
    }
}

type HttpConnection = http1::Connection<TokioIo<TcpStream>, CountedResponder>;

/// Serves a connection until it ends, has to close once it is idle, or has to give way.
///
/// # Errors
///
/// Returns why the connection ended, unless it ended cleanly: also one that is idle for too long
/// does.
async fn serve_connection(
    mut connection: HttpConnection,
    open: &OpenConnection,
    mut closing: watch::Receiver<bool>,
) -> Result<(), CloseCause> {
    let mut is_closing = false;
    loop {
        tokio::select! {
            biased;
            ended = &mut connection => return match ended {
                Ok(()) => Ok(()),
                Err(error) => close_cause(&error, connection).map_or(Ok(()), Err),
            },
            () = open.must_close() => {
                if !open.handle().is_handling() {
                    return Err(CloseCause::GaveWay);
                }
                // A request has arrived in the same moment; it is answered first.
                close_when_idle(&mut connection);
            }
            () = wait_until_idle_may_close(&mut closing), if !is_closing => {
                is_closing = true;
                close_when_idle(&mut connection);
            }
        }
    }
}

/// Makes a connection close as soon as it has no request to answer.
fn close_when_idle(connection: &mut HttpConnection) {
    Pin::new(connection).graceful_shutdown();
}

/// Returns why a connection ended, or `None` if it was idle for too long: nothing of a head came.
fn close_cause(error: &hyper::Error, connection: HttpConnection) -> Option<CloseCause> {
    if !error.is_timeout() {
        log::debug!(target: "listen", error:% = error; "a connection broke off");
        return Some(CloseCause::BrokeOff);
    }
    let is_idle = connection.into_parts().read_buf.is_empty();
    (!is_idle).then_some(CloseCause::HeadTimeout)
}

/// Answers requests and says when each begins and ends.
struct CountedResponder {
    responder: Responder<Arc<SocketAddr>>,
    handle: ConnectionHandle,
    caller: CallerAddress,
}

impl Service<Request<Incoming>> for CountedResponder {
    type Response = viz::Response;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<viz::Response, Infallible>>;

    fn call(&self, mut request: Request<Incoming>) -> Self::Future {
        let handle = self.handle.clone();
        handle.begin_request();
        request.extensions_mut().insert(handle.clone());
        request.extensions_mut().insert(self.caller);
        let answer = self.responder.call(request);
        Box::pin(async move {
            let answer = answer.await;
            handle.end_request();
            answer
        })
    }
}

/// Waits until the server closes idle connections and what had arrived by then has been read.
async fn wait_until_idle_may_close(closing: &mut watch::Receiver<bool>) {
    // An error means that the server is gone; its connections then close as well.
    let _ = closing.wait_for(|closing| *closing).await;
    quiet_period().await;
}

/// Waits for [`QUIET`], and again if the process did not run all the while, up to [`QUIET_ATTEMPTS`]
/// times.
async fn quiet_period() {
    for _ in 0..QUIET_ATTEMPTS {
        let started = Instant::now();
        tokio::time::sleep(QUIET).await;
        if started.elapsed() <= QUIET_ON_TIME {
            return;
        }
    }
}

/// Returns whether an error concerns only the connection that would have been accepted.
fn is_connection_error(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset
    )
}

#[cfg(test)]
mod tests;
