//! A crowd of clients, each with one unfinished request on a connection that stays open.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// How many clients there are.
pub const CLIENTS: usize = 400;
/// How many begin in a row before there is a pause.
const AT_ONCE: usize = 40;
const PAUSE: Duration = Duration::from_millis(20);
/// How much each client sends of a head that has no end.
const ENDLESS_BYTES: usize = 360_000;
/// Bytes of one write of such a head.
const WRITE_BYTES: usize = 4_000;
/// What a header line has beside its value.
const LINE_ENDS: usize = "x: \r\n".len();
/// Length of a body that is within the limit of the tests' configuration.
pub const BODY_BYTES: usize = 200_000;
/// Bytes of a small piece of a body.
const PIECE_BYTES: usize = 10;
/// How much of a body is sent in small pieces.
const IN_PIECES_BYTES: usize = 20_000;
const LARGE_CHUNK_BYTES: usize = 50_000;
/// How many chunks of one byte are sent.
const SMALL_CHUNKS: usize = 20_000;
/// How long a client tries to send.
const SENDING: Duration = Duration::from_secs(8);

/// What each client of a crowd sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    EndlessHeader,
    EndlessHeaders,
    EmptyLines,
    WholeBodies,
    BodiesInPieces,
    LargeChunks,
    SmallChunks,
}

pub const FORMS: [Form; 7] = [
    Form::EndlessHeader,
    Form::EndlessHeaders,
    Form::EmptyLines,
    Form::WholeBodies,
    Form::BodiesInPieces,
    Form::LargeChunks,
    Form::SmallChunks,
];

/// The request line and the headers of a request with a body.
#[derive(Debug, Clone)]
pub struct Head(pub String);

impl Head {
    fn with(&self, header: &str) -> Vec<u8> {
        format!("{}{header}\r\n\r\n", self.0).into_bytes()
    }
}

/// Sends what a form asks for on a connection that then stays open.
async fn send(address: SocketAddr, head: &Head, form: Form) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    match form {
        Form::EndlessHeader => {
            stream
                .write_all(format!("{}x: ", head.0).as_bytes())
                .await?;
            repeat(&mut stream, b"a", ENDLESS_BYTES).await?;
        }
        Form::EndlessHeaders => {
            stream.write_all(head.0.as_bytes()).await?;
            let line = format!(
                "x: {}
",
                "a".repeat(WRITE_BYTES - LINE_ENDS)
            );
            repeat(&mut stream, line.as_bytes(), ENDLESS_BYTES).await?;
        }
        Form::EmptyLines => repeat(&mut stream, b"\r\n", ENDLESS_BYTES).await?,
        Form::WholeBodies => {
            let length = format!("content-length: {BODY_BYTES}");
            stream.write_all(&head.with(&length)).await?;
            stream.write_all(&vec![b' '; BODY_BYTES - 1]).await?;
        }
        Form::BodiesInPieces => {
            let length = format!("content-length: {IN_PIECES_BYTES}");
            stream.write_all(&head.with(&length)).await?;
            for _ in 0..(IN_PIECES_BYTES - 1) / PIECE_BYTES {
                stream.write_all(&[b' '; PIECE_BYTES]).await?;
                tokio::task::yield_now().await;
            }
        }
        Form::LargeChunks => {
            stream
                .write_all(&head.with("transfer-encoding: chunked"))
                .await?;
            for _ in 0..(BODY_BYTES - 1) / LARGE_CHUNK_BYTES {
                let chunk = vec![b' '; LARGE_CHUNK_BYTES];
                stream
                    .write_all(format!("{LARGE_CHUNK_BYTES:x}\r\n").as_bytes())
                    .await?;
                stream.write_all(&chunk).await?;
                stream.write_all(b"\r\n").await?;
            }
        }
        Form::SmallChunks => {
            stream
                .write_all(&head.with("transfer-encoding: chunked"))
                .await?;
            repeat(&mut stream, b"1\r\n \r\n", SMALL_CHUNKS * 6).await?;
        }
    }
    Ok(stream)
}

/// Writes a text again and again, so many bytes in all.
async fn repeat(stream: &mut TcpStream, text: &[u8], bytes: usize) -> std::io::Result<()> {
    let part = text.repeat(WRITE_BYTES / text.len());
    for _ in 0..bytes / part.len() {
        stream.write_all(&part).await?;
    }
    Ok(())
}

/// Sends from all clients of a crowd; returns the connections that are still open.
pub async fn press(address: SocketAddr, head: &Head, form: Form) -> Vec<TcpStream> {
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        let head = head.clone();
        clients.spawn(async move {
            let sending = tokio::time::timeout(SENDING, send(address, &head, form));
            sending.await.ok()?.ok()
        });
        if number % AT_ONCE == AT_ONCE - 1 {
            tokio::time::sleep(PAUSE).await;
        }
    }
    let mut open = Vec::new();
    while let Some(sent) = clients.join_next().await {
        open.extend(sent.expect("a client"));
    }
    open
}

/// Sends one whole request on a connection of its own; returns the status of its answer.
pub async fn ordinary_request(address: SocketAddr, request: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = vec![0; 64];
    let length = stream.read(&mut answer).await.ok()?;
    let text = String::from_utf8_lossy(&answer[..length]).into_owned();
    text.split(' ').nth(1)?.parse().ok()
}
