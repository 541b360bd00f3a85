use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::Body as _;
use hyper::body::Incoming;
use rhubarbfall_core::ResultCode;
use xitca_web::body::{Body, Frame, SizeHint};

use super::InFlightGuard;
use super::upstream_connections::Connection;
use crate::dispatch::Permit;

/// An answer's body on its way from an upstream to the caller.
///
/// A body that ends early yields an error, on which the server closes the caller's connection
/// before the end of the answer, so that the caller sees that it is not whole. Only a clean end
/// lets the connection to the upstream serve another exchange.
pub(super) struct UpstreamBody {
    pub(super) incoming: Incoming,
    pub(super) resources: Option<RequestResources>,
}

/// What a request holds until its answer has ended.
pub(super) struct RequestResources {
    pub(super) in_flight: InFlightGuard,
    pub(super) permit: Permit,
    pub(super) connection: Connection,
}

/// The upstream's answer ended early.
#[derive(Debug)]
pub(super) struct ResponseTruncated;

impl fmt::Display for ResponseTruncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&ResultCode::AnswerCut, f)
    }
}

impl std::error::Error for ResponseTruncated {}

impl UpstreamBody {
    fn end(&mut self) {
        let Some(resources) = self.resources.take() else {
            return;
        };
        let RequestResources {
            in_flight,
            permit,
            connection,
        } = resources;
        let address = permit.address();
        permit.end();
        drop(permit);
        in_flight.shared().connections.put_idle(address, connection);
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = ResponseTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        loop {
            match Pin::new(&mut self.incoming).poll_frame(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => {
                    self.end();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => {
                    log::warn!("answer cut: {error}");
                    self.resources = None;
                    return Poll::Ready(Some(Err(ResponseTruncated)));
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
