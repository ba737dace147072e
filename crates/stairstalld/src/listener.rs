//! TCP listener for callers, with Nagle's algorithm disabled.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};

/// Accepts connections on which small writes are sent without delay.
///
/// The head and the body of a response are often two writes. With Nagle's algorithm the second one
/// waits for the caller's delayed acknowledgement, about 40 ms.
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
