//! Bodies of answers, watched to their end.

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

use super::claims::Keeper;
use crate::dispatch::Permit;

/// Pieces of an answer that wait for a slow caller.
const PIECES_AHEAD: usize = 8;

quick_error! {
    /// Why an answer ends before it is whole; the caller's connection is broken off,
    /// so that it can't take the part for the whole.
    #[derive(Debug)]
    pub enum Cut {
        /// The minion broke off.
        Minion(source: hyper::Error) {
            display("the minion broke off: {source}")
            source(source)
        }
        /// The deadline passed.
        Deadline {
            display("the deadline passed before the end of the answer")
        }
        /// The task that read the answer is gone.
        Gone {
            display("the answer's reader is gone")
        }
    }
}

/// A minion's answer; its slot is held until the end.
#[derive(Debug)]
pub(super) struct Tracked {
    body: Incoming,
    permit: Option<Permit>,
    deadline: Pin<Box<Sleep>>,
    request: RequestId,
}

impl Tracked {
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

    fn cut(&mut self, cut: Cut) -> Cut {
        log::warn!(target: "decision", request:% = self.request, verdict = "may-have-run";
            "answer cut: {cut}");
        self.finish(RequestOutcome::Fault);
        cut
    }

    /// Returns a body fed by a task that reads on when the caller goes away.
    pub(super) fn seen_to_the_end(mut self, mut keeper: Keeper) -> viz::Body {
        let (sender, receiver) = mpsc::channel(PIECES_AHEAD);
        tokio::spawn(async move {
            let mut caller = Some(sender);
            while let Some(frame) = self.frame().await {
                let frame = match frame {
                    Ok(frame) => frame,
                    Err(cut) => {
                        if let Some(caller) = caller {
                            let _ = caller.send(Err(cut)).await;
                        }
                        return;
                    }
                };
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                keeper.add(&data);
                if let Some(sender) = &caller
                    && sender.send(Ok(Piece::Data(data))).await.is_err()
                {
                    caller = None;
                }
            }
            if let Some(caller) = caller {
                // The caller need not wait until the answer is kept.
                let _ = caller.send(Ok(Piece::End)).await;
            }
            keeper.keep().await;
        });
        viz::Body::wrap(Fed {
            receiver,
            ended: false,
        })
    }
}

impl Body for Tracked {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if self.permit.is_some() && self.deadline.as_mut().poll(cx).is_ready() {
            let cut = self.cut(Cut::Deadline);
            return Poll::Ready(Some(Err(cut)));
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
                let cut = self.cut(Cut::Minion(error));
                Poll::Ready(Some(Err(cut)))
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

/// A body whose pieces another task reads.
#[derive(Debug)]
struct Fed {
    receiver: mpsc::Receiver<Result<Piece, Cut>>,
    ended: bool,
}

/// What a reading task passes on.
#[derive(Debug)]
enum Piece {
    Data(Bytes),
    /// The answer is whole; a channel that closes without this one was cut.
    End,
}

impl Body for Fed {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.receiver.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(Piece::Data(data)))) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Poll::Ready(Some(Ok(Piece::End))) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(cut))) => Poll::Ready(Some(Err(cut))),
            Poll::Ready(None) => Poll::Ready(Some(Err(Cut::Gone))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }
}
