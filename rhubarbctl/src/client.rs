use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rhubarbfall_core::{ResultCode, Revision, WaveId};
use rhubarbfall_document::AccessKey;
use rhubarbfall_document::HistoryRecord;
use rhubarbfall_document::api::{
    ChangeResponse, DocumentView, KEY_HEADER, KeyDigestResponse, OperatorErrorResponse, StatusView,
    TRANSACTION_HEADER, UpstreamView,
};
use rhubarbfall_fleet::api::{Explanation, VmMove, WaveStatusChange, WaveView};
use rhubarbfall_fleet::{PlannedVm, WaveRow};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::ctl_error::CtlError;
use crate::settings::ConnectionSettings;

/// Time limit of the connection set-up, and again of the exchange of request and response; longer
/// than an entry waits for the platform and its peers.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest response body that is read; the state of a large fleet stays well below this size.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Maximum number of retries of a change after a failure that is not permanent.
const MAX_RETRIES: u32 = 3;

/// Delay before the first retry; each further delay is longer by the same amount.
const RETRY_DELAY_STEP: Duration = Duration::from_millis(300);

/// Client of one entry's operators' interface.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    settings: ConnectionSettings,
}

impl Client {
    pub(crate) const fn new(settings: ConnectionSettings) -> Self {
        Self { settings }
    }

    /// Returns the part of the document that the key's owner may see.
    pub(crate) async fn document(&self) -> Result<DocumentView, CtlError> {
        self.get("/v1/document").await
    }

    /// Returns the history records of the revisions later than `since`.
    pub(crate) async fn history(&self, since: Revision) -> Result<Vec<HistoryRecord>, CtlError> {
        self.get(&format!("/v1/document/history?since={since}"))
            .await
    }

    /// Returns the revision in force at each entry, as far as the contacted entry knows.
    pub(crate) async fn status(&self) -> Result<StatusView, CtlError> {
        self.get("/v1/status").await
    }

    /// Returns the upstreams known to the entry.
    pub(crate) async fn upstreams(&self) -> Result<Vec<UpstreamView>, CtlError> {
        self.get("/v1/upstreams").await
    }

    /// Returns the full state of the entry process.
    pub(crate) async fn state(&self) -> Result<Value, CtlError> {
        self.get("/state").await
    }

    /// Returns the maintenance waves with their progress.
    pub(crate) async fn waves(&self) -> Result<Vec<WaveView>, CtlError> {
        self.get("/v1/waves").await
    }

    /// Returns when the drain of each VM of a wave starts, or what it waits for.
    pub(crate) async fn wave_plan(&self, wave: &WaveId) -> Result<Vec<PlannedVm>, CtlError> {
        self.get(&format!("/v1/waves/plan?wave={wave}")).await
    }

    /// Pauses, resumes or stops a wave.
    pub(crate) async fn set_wave_status(
        &self,
        change: &WaveStatusChange,
    ) -> Result<WaveRow, CtlError> {
        self.post("/v1/waves/status", change).await
    }

    /// Requests the move of a VM to a pool.
    pub(crate) async fn move_vm(&self, change: &VmMove) -> Result<VmMove, CtlError> {
        self.post("/v1/vms/pool", change).await
    }

    /// Returns the rows of a VM, pool, team or wave and the decisions about it.
    pub(crate) async fn explain(&self, kind: &str, id: &str) -> Result<Explanation, CtlError> {
        self.get(&format!("/v1/explain?kind={kind}&id={id}")).await
    }

    async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CtlError> {
        let body = serde_json::to_vec(body);
        let body = body.map_err(|error| CtlError::Usage(error.to_string()))?;
        self.request(Method::POST, path, body.into(), None).await
    }

    /// Returns the digest of a key under the fleet's pepper.
    pub(crate) async fn key_digest(&self, key: &AccessKey) -> Result<KeyDigestResponse, CtlError> {
        let body = Bytes::from(key.reveal().to_owned());
        self.request(Method::POST, "/v1/key-digest", body, None)
            .await
    }

    /// Checks whether the entry would accept a change, without making it.
    pub(crate) async fn check(&self, draft_toml: &str) -> Result<ChangeResponse, CtlError> {
        let body = Bytes::from(draft_toml.to_owned());
        self.request(Method::POST, "/v1/document/check", body, Some("check"))
            .await
    }

    /// Sends a change, and retries it with the same transaction id until it succeeds, fails
    /// permanently or [`MAX_RETRIES`] is reached.
    ///
    /// Fails with [`CtlError::UnknownOutcome`] if the retries run out and an attempt may have
    /// changed the document.
    pub(crate) async fn apply(
        &self,
        draft_toml: &str,
        transaction_id: &str,
    ) -> Result<ChangeResponse, CtlError> {
        let body = Bytes::from(draft_toml.to_owned());
        let mut is_outcome_unknown = false;
        let mut retries = 0;
        loop {
            let attempt = self.request(
                Method::POST,
                "/v1/document",
                body.clone(),
                Some(transaction_id),
            );
            let error = match attempt.await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            is_outcome_unknown |= leaves_outcome_unknown(&error);
            if is_permanent(&error) {
                return Err(error);
            }
            if retries == MAX_RETRIES {
                return Err(if is_outcome_unknown {
                    CtlError::UnknownOutcome(transaction_id.to_owned(), error.to_string())
                } else {
                    error
                });
            }
            retries += 1;
            sleep(RETRY_DELAY_STEP * retries).await;
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        self.request(Method::GET, path, Bytes::new(), None).await
    }

    async fn request<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        transaction_id: Option<&str>,
    ) -> Result<T, CtlError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.settings.endpoint.to_string());
        if let Some(key) = &self.settings.key {
            request = request.header(KEY_HEADER, key.reveal());
        }
        if let Some(id) = transaction_id {
            request = request.header(TRANSACTION_HEADER, id);
        }
        let request = request.body(Full::new(body));
        let request = request.map_err(|error| CtlError::Usage(error.to_string()))?;
        let (status, body) = self.exchange(request).await?;
        if status.is_success() {
            return serde_json::from_slice(&body)
                .map_err(|error| CtlError::MalformedResponse(error.to_string()));
        }
        match serde_json::from_slice::<OperatorErrorResponse>(&body) {
            Ok(response) => Err(CtlError::Rejected(Box::new(response))),
            Err(_) => Err(CtlError::MalformedResponse(format!("status {status}"))),
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), CtlError> {
        let endpoint = self.settings.endpoint;
        let unreachable = |reason: String| CtlError::Unreachable(endpoint.to_string(), reason);
        let response_lost = |reason: String| CtlError::ResponseLost(endpoint.to_string(), reason);
        let stream = timeout(RESPONSE_TIMEOUT, TcpStream::connect(endpoint)).await;
        let stream = stream.map_err(|elapsed| unreachable(elapsed.to_string()))?;
        let stream = stream.map_err(|error| unreachable(error.to_string()))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        tokio::spawn(connection);
        let exchange = async {
            let response = sender.send_request(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
            Ok((status, body.collect().await?.to_bytes()))
        };
        let result: Result<_, Box<dyn std::error::Error + Send + Sync>> =
            timeout(RESPONSE_TIMEOUT, exchange)
                .await
                .map_err(|elapsed| response_lost(elapsed.to_string()))?;
        result.map_err(|error| response_lost(error.to_string()))
    }
}

fn leaves_outcome_unknown(error: &CtlError) -> bool {
    match error {
        CtlError::ResponseLost(..) | CtlError::MalformedResponse(_) => true,
        CtlError::Rejected(response) => response.execution == rhubarbfall_core::Execution::Unknown,
        _ => false,
    }
}

/// Returns whether a retry with the same transaction id cannot succeed.
fn is_permanent(error: &CtlError) -> bool {
    match error {
        CtlError::Rejected(response) => !matches!(
            response.code,
            ResultCode::ChangeUnknown
                | ResultCode::ConditionFailed
                | ResultCode::PlatformAnswerLost
                | ResultCode::PlatformUnavailable
                | ResultCode::AcceptanceUnproved
        ),
        CtlError::Usage(_) => true,
        _ => false,
    }
}
