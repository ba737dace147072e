//! The callers' listener: answers leave at once.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};

/// Accepts connections on which small writes are not held back.
///
/// An answer's head and its body are often two writes; with Nagle's algorithm
/// the second waits for the caller's delayed acknowledgement, about 40 ms.
#[derive(Debug)]
pub(crate) struct NoDelayListener(pub(crate) TcpListener);

impl viz::Listener for NoDelayListener {
    type Io = TcpStream;
    type Addr = SocketAddr;

    async fn accept(&self) -> std::io::Result<(TcpStream, SocketAddr)> {
        let (stream, address) = self.0.accept().await?;
        stream.set_nodelay(true)?;
        Ok((stream, address))
    }

    fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.0.local_addr()
    }
}
