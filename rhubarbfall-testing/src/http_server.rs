use std::convert::Infallible;
use std::fmt;
use std::future::Future;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;

/// Body of a stand-in's response; the error drops the connection within the body.
pub type Body = BoxBody<Bytes, ConnectionDropped>;

/// Error on which the server drops the connection instead of sending the rest of the response.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionDropped;

impl fmt::Display for ConnectionDropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in dropped the connection")
    }
}

impl std::error::Error for ConnectionDropped {}

/// Serves HTTP/1 on the listener, with one task per connection, until the runtime ends.
pub async fn serve_http<F, Fut>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<Body>, ConnectionDropped>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(handler);
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("stand-in connection ended: {error}");
            }
        });
    }
}

/// Returns a response with this status and body.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(text.into()).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = status;
    response
}

/// Returns a response with this status and the value as JSON.
///
/// The body is empty when the value cannot be serialized.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let json = serde_json::to_vec(value).unwrap_or_default();
    text_response(status, json)
}
