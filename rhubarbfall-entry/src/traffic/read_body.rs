use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rhubarbfall_core::ResultCode;
use tokio::time::timeout;
use xitca_web::body::{BodyExt, RequestBody};

use super::body_budget::{BodyBudget, BodyReservation};

/// Maximum number of bytes discarded after a request was rejected; a sender whose connection is
/// closed earlier may never receive the response.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;

/// Time limit for discarding the rest of a rejected request's body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// A request body that has been received completely.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    pub(crate) bytes: Bytes,
    /// Keeps the body's memory reserved in the budget.
    pub(crate) _reservation: BodyReservation,
}

/// Reads a complete body within the size limit, the time limit and the memory budget.
pub(crate) async fn read_body(
    body: &mut RequestBody,
    budget: &Arc<BodyBudget>,
    max_bytes: usize,
    body_timeout: Duration,
) -> Result<BufferedBody, ResultCode> {
    let mut reservation = BodyReservation::new(budget);
    let read = async {
        let mut buffer = BytesMut::new();
        while let Some(data) = body.data().await {
            let data = data.map_err(|_| ResultCode::BadRequest)?;
            if buffer.len() + data.len() > max_bytes {
                return Err(ResultCode::BodyTooLarge);
            }
            if !reservation.try_grow(data.len()) {
                return Err(ResultCode::Overloaded);
            }
            buffer.extend_from_slice(&data);
        }
        Ok(buffer.freeze())
    };
    let bytes = timeout(body_timeout, read).await;
    let bytes = bytes.map_err(|_| ResultCode::BodyTooSlow)??;
    Ok(BufferedBody {
        bytes,
        _reservation: reservation,
    })
}

/// Reads and discards the rest of a rejected request's body, so that its sender receives the
/// response.
pub(crate) async fn discard_body(body: &mut RequestBody) {
    let mut discarded_bytes = 0;
    let discard = async {
        while let Some(Ok(data)) = body.data().await {
            discarded_bytes += data.len();
            if discarded_bytes > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    let _ = timeout(DISCARD_TIMEOUT, discard).await;
}
