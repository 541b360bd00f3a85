use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::Body as _;
use hyper::body::Incoming;
use rhubarbfall_core::ResultCode;
use xitca_web::body::{Body, Frame, SizeHint};

use super::InFlight;
use super::upstream_connections::Connection;
use crate::dispatch::Permit;

/// An answer's body on its way from an upstream to the caller.
///
/// A body that ends early yields an error, on which the server closes the caller's connection
/// before the end of the answer, so that the caller sees that it is not whole. Only a clean end
/// lets the connection to the upstream serve another exchange.
pub(super) struct UpstreamBody {
    pub(super) incoming: Incoming,
    pub(super) in_progress: Option<InProgress>,
}

/// What a request holds until its answer has ended.
pub(super) struct InProgress {
    pub(super) in_flight: InFlight,
    pub(super) permit: Permit,
    pub(super) connection: Connection,
}

/// The upstream's answer ended early.
#[derive(Debug)]
pub(super) struct AnswerCut;

impl fmt::Display for AnswerCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&ResultCode::AnswerCut, f)
    }
}

impl std::error::Error for AnswerCut {}

impl UpstreamBody {
    fn end(&mut self) {
        let Some(in_progress) = self.in_progress.take() else {
            return;
        };
        let InProgress {
            in_flight,
            permit,
            connection,
        } = in_progress;
        let address = permit.address();
        permit.end();
        drop(permit);
        in_flight.shared().connections.put_idle(address, connection);
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        loop {
            match Pin::new(&mut self.incoming).poll_frame(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => {
                    self.end();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => {
                    log::warn!("answer cut: {error}");
                    self.in_progress = None;
                    return Poll::Ready(Some(Err(AnswerCut)));
                }
                Poll::Ready(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(Frame::Data(data))));
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming
            .size_hint()
            .exact()
            .map_or(SizeHint::Unknown, SizeHint::Exact)
    }
}
