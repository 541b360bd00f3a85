use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rhubarbfall_core::ResultCode;
use xitca_web::body::{BodyExt, RequestBody};

/// Reads a body of bounded size that has to arrive in time.
pub(crate) async fn read_body(
    mut body: RequestBody,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, ResultCode> {
    let read = async {
        let mut buffer = BytesMut::new();
        while let Some(data) = body.data().await {
            let data = data.map_err(|_| ResultCode::BadRequest)?;
            if buffer.len() + data.len() > max_bytes {
                return Err(ResultCode::BodyTooLarge);
            }
            buffer.extend_from_slice(&data);
        }
        Ok(buffer.freeze())
    };
    tokio::time::timeout(timeout, read)
        .await
        .map_err(|_| ResultCode::BodyTooSlow)?
}
