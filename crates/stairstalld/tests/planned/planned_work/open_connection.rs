//! A caller's connection that stays open between requests, and what becomes of each request on it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A connection to one daemon.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    stream: TcpStream,
    address: SocketAddr,
}

/// What became of a request.
#[derive(Debug)]
pub(crate) enum Exchange {
    /// A complete answer came.
    Answered(Answer),
    /// The connection closed without a complete answer, so long after the last byte was sent.
    Cut(Duration),
    /// The request was not sent in full.
    NotSent,
    /// The caller gave up.
    GivenUp,
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
    /// Whether the daemon closes the connection after it.
    pub(crate) closes: bool,
}

impl OpenConnection {
    pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, address })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads its answer.
    pub(crate) async fn exchange(
        &mut self,
        method: &str,
        path: &str,
        body: &Value,
        patience: Duration,
    ) -> Exchange {
        let request = self.exchange_in_parts(method, path, body, None, patience);
        request.await
    }

    /// Sends a request, half of its body so much later if that is said, and reads its answer.
    pub(crate) async fn exchange_in_parts(
        &mut self,
        method: &str,
        path: &str,
        body: &Value,
        gap: Option<Duration>,
        patience: Duration,
    ) -> Exchange {
        let request = request_bytes(method, path, body);
        let later = gap.map_or(0, |_| body.to_string().len() / 2);
        let (first, rest) = request.split_at(request.len() - later);
        if self.stream.write_all(first).await.is_err() {
            return Exchange::NotSent;
        }
        if let Some(gap) = gap {
            tokio::time::sleep(gap).await;
            if self.stream.write_all(rest).await.is_err() {
                return Exchange::NotSent;
            }
        }
        let sent_at = Instant::now();
        match tokio::time::timeout(patience, self.read_answer()).await {
            Ok(Some(answer)) => Exchange::Answered(answer),
            Ok(None) => Exchange::Cut(sent_at.elapsed()),
            Err(_) => Exchange::GivenUp,
        }
    }

    /// Reads an answer; none if the connection closes before its end.
    async fn read_answer(&mut self) -> Option<Answer> {
        let mut bytes = Vec::new();
        loop {
            if let Some(answer) = parse_answer(&bytes) {
                return Some(answer);
            }
            let mut part = [0; 4096];
            match self.stream.read(&mut part).await {
                Ok(length) if length > 0 => bytes.extend_from_slice(&part[..length]),
                _ => return None,
            }
        }
    }
}

fn request_bytes(method: &str, path: &str, body: &Value) -> Vec<u8> {
    let body = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: jobs.example\r\nauthorization: Bearer key-mesa\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    );
    [head.into_bytes(), body.into_bytes()].concat()
}

/// Reads an answer with a length; none if it is not complete.
fn parse_answer(bytes: &[u8]) -> Option<Answer> {
    let head_end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..head_end]).ok()?.to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let header = |name: &str| {
        let lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
        lines
            .filter(|(named, _)| *named == name)
            .map(|(_, value)| value.trim())
            .next()
    };
    let length: usize = header("content-length").map_or(Some(0), |length| length.parse().ok())?;
    let body = bytes.get(head_end + 4..head_end + 4 + length)?;
    Some(Answer {
        status,
        body: body.to_vec(),
        closes: header("connection") == Some("close"),
    })
}
