//! Bodies of minions' responses, tracked until they end.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use stairstall_core::RequestId;
use stairstall_core::routing::RequestOutcome;
use tokio::sync::mpsc;
use tokio::time::{Instant, Sleep};

use super::claims::ResponseRecorder;
use crate::dispatch::Permit;

/// Number of chunks buffered for a slow caller.
const BUFFERED_CHUNKS: usize = 8;

quick_error! {
    /// Why a response body is incomplete. The caller's connection is aborted, so that the caller
    /// can't mistake a partial response for a complete one.
    #[derive(Debug)]
    pub enum BodyAborted {
        /// The minion aborted its response.
        Minion(source: hyper::Error) {
            display("the minion aborted its response: {source}")
            source(source)
        }
        /// The deadline passed.
        Deadline {
            display("the deadline passed before the end of the response")
        }
        /// The task that reads the response ended early.
        ReaderGone {
            display("the task that reads the response ended early")
        }
    }
}

/// Body of a minion's response; it holds the minion's slot until it ends.
#[derive(Debug)]
pub(super) struct TrackedBody {
    body: Incoming,
    permit: Option<Permit>,
    deadline: Pin<Box<Sleep>>,
    request: RequestId,
}

impl TrackedBody {
    pub(super) fn new(
        body: Incoming,
        permit: Permit,
        deadline: Instant,
        request: RequestId,
    ) -> Self {
        let deadline = Box::pin(tokio::time::sleep_until(deadline));
        let mut tracked = Self {
            body,
            permit: Some(permit),
            deadline,
            request,
        };
        if tracked.body.is_end_stream() {
            tracked.finish(RequestOutcome::Answered);
        }
        tracked
    }

    fn finish(&mut self, outcome: RequestOutcome) {
        if let Some(permit) = self.permit.take() {
            permit.finish(outcome);
        }
    }

    /// Logs an incomplete body and releases the slot.
    fn abort(&mut self, reason: BodyAborted) -> BodyAborted {
        log::warn!(target: "decision", request:% = self.request, verdict = "may-have-run";
            "response aborted: {reason}");
        self.finish(RequestOutcome::Fault);
        reason
    }

    /// Returns a body that a task feeds; the task reads to the end even if the caller disconnects,
    /// and stores the response with its claim.
    pub(super) fn read_to_end(mut self, mut recorder: ResponseRecorder) -> viz::Body {
        let (sender, receiver) = mpsc::channel(BUFFERED_CHUNKS);
        tokio::spawn(async move {
            let mut caller = Some(sender);
            while let Some(frame) = self.frame().await {
                let frame = match frame {
                    Ok(frame) => frame,
                    Err(reason) => {
                        if let Some(caller) = caller {
                            let _ = caller.send(Err(reason)).await;
                        }
                        return;
                    }
                };
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                recorder.add(&data);
                if let Some(sender) = &caller
                    && sender.send(Ok(Chunk::Data(data))).await.is_err()
                {
                    caller = None;
                }
            }
            if let Some(caller) = caller {
                // The caller does not wait until the response is stored.
                let _ = caller.send(Ok(Chunk::End)).await;
            }
            recorder.store().await;
        });
        viz::Body::wrap(ChannelBody {
            receiver,
            ended: false,
        })
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        if self.permit.is_some() && self.deadline.as_mut().poll(cx).is_ready() {
            let reason = self.abort(BodyAborted::Deadline);
            return Poll::Ready(Some(Err(reason)));
        }
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => {
                if self.body.is_end_stream() {
                    self.finish(RequestOutcome::Answered);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                let reason = self.abort(BodyAborted::Minion(error));
                Poll::Ready(Some(Err(reason)))
            }
            Poll::Ready(None) => {
                self.finish(RequestOutcome::Answered);
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Body whose chunks another task reads from the minion.
#[derive(Debug)]
struct ChannelBody {
    receiver: mpsc::Receiver<Result<Chunk, BodyAborted>>,
    ended: bool,
}

/// Message from the reading task.
#[derive(Debug)]
enum Chunk {
    Data(Bytes),
    /// The response is complete; if the channel closes without this message, it is not.
    End,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.receiver.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(Chunk::Data(data)))) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Poll::Ready(Some(Ok(Chunk::End))) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(reason))) => Poll::Ready(Some(Err(reason))),
            Poll::Ready(None) => Poll::Ready(Some(Err(BodyAborted::ReaderGone))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }
}
