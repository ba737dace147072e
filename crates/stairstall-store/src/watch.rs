use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, header};
use stairstall_http::{Body, CallError};

use crate::wire::{EventType, Long, WatchCreate, WatchEvent, WatchLine, WatchRequest, prefix_end};
use crate::{Entry, Store, StoreError};

/// One change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The key was written.
    Put(Entry),
    /// The key was deleted or its lease ended.
    Delete(String),
}

impl From<WatchEvent> for Event {
    fn from(event: WatchEvent) -> Self {
        let entry = Entry::from_wire(event.kv);
        match event.kind {
            EventType::Put => Self::Put(entry),
            EventType::Delete => Self::Delete(entry.key),
        }
    }
}

/// An open watch, which counts as one call to the store.
#[derive(Debug)]
pub struct Watch {
    body: Incoming,
    buffer: BytesMut,
    events: VecDeque<Event>,
}

/// Largest incomplete line that is buffered, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

impl Watch {
    pub(crate) async fn open(
        store: &Store,
        key: &str,
        whole_prefix: bool,
        start_revision: u64,
    ) -> Result<Self, StoreError> {
        store.count_call();
        let range_end = if whole_prefix {
            prefix_end(key)
        } else {
            "".into()
        };
        let create = WatchCreate {
            key: key.into(),
            range_end,
            start_revision: Long(start_revision),
        };
        let body = serde_json::to_vec(&WatchRequest {
            create_request: create,
        })
        .map_err(|e| CallError::InvalidFormat(e.to_string()))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/v3/watch", store.address()))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Body::from(body))
            .map_err(|e| CallError::InvalidFormat(e.to_string()))?;
        let response = store.client().send(request, store.timeout()).await?;
        if !response.status().is_success() {
            return Err(StoreError::Status(response.status().as_u16()));
        }
        Ok(Self {
            body: response.into_body(),
            buffer: BytesMut::new(),
            events: VecDeque::new(),
        })
    }

    /// Waits for the next change; returns `None` after `timeout` without data.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::WatchEnded`] if the watch ended or a line exceeds the size limit, and
    /// [`StoreError::Call`] if a line cannot be decoded.
    pub async fn next(&mut self, timeout: Duration) -> Result<Option<Event>, StoreError> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(Some(event));
            }
            let Ok(frame) = tokio::time::timeout(timeout, self.body.frame()).await else {
                return Ok(None);
            };
            let frame = frame
                .ok_or(StoreError::WatchEnded)?
                .map_err(|_| StoreError::WatchEnded)?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
                self.decode_lines()?;
            }
        }
    }

    fn decode_lines(&mut self) -> Result<(), StoreError> {
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line = self.buffer.split_to(end);
            self.buffer.advance(1);
            let line: WatchLine = serde_json::from_slice(&line)
                .map_err(|e| CallError::InvalidFormat(e.to_string()))?;
            self.events
                .extend(line.result.events.into_iter().map(Event::from));
        }
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err(StoreError::WatchEnded);
        }
        Ok(())
    }
}
