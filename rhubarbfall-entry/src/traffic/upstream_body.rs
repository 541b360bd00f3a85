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

/// A response body that is streamed from an upstream to the caller.
///
/// A body that ends early yields an error, on which the server closes the caller's connection
/// before the end of the response, so that the caller detects the truncation. The connection to the
/// upstream is reused only after a complete response.
pub(super) struct UpstreamBody {
    pub(super) incoming: Incoming,
    pub(super) resources: Option<RequestResources>,
}

/// The resources that a request holds until the end of its response.
pub(super) struct RequestResources {
    pub(super) in_flight: InFlightGuard,
    pub(super) permit: Permit,
    pub(super) connection: Connection,
}

/// The upstream's response ended early.
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
                    log::warn!("event=response-truncated error={error}");
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
