use std::io;
use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use rhubarbfall_core::ResultCode;
use rhubarbfall_document::api::OperatorErrorResponse;
use xitca_web::App;
use xitca_web::handler::handler_service;
use xitca_web::http::WebResponse;
use xitca_web::route::{get, post};

use super::response::respond;
use super::{document_endpoints, fleet_endpoints, health_endpoints};
use crate::traffic::{HttpListener, MAX_HEAD_BYTES};
use crate::{Shared, fleet};

/// Context of the handlers of the operators' interface.
#[derive(Debug, Clone)]
pub struct OperatorContext {
    /// Shared state of the process.
    pub shared: Arc<Shared>,
    /// Renderer of the metrics; `None` if this process records none.
    pub metrics: Option<PrometheusHandle>,
}

/// Serves the operators' interface until the process ends.
///
/// # Errors
///
/// Returns an I/O error if the server's threads cannot be started.
pub fn serve(context: OperatorContext, listener: HttpListener) -> io::Result<()> {
    App::new()
        .at("/live", get(handler_service(health_endpoints::live)))
        .at("/ready", get(handler_service(health_endpoints::ready)))
        .at("/metrics", get(handler_service(health_endpoints::metrics)))
        .at("/state", get(handler_service(health_endpoints::state)))
        .at(
            "/v1/document",
            get(handler_service(document_endpoints::document))
                .post(handler_service(document_endpoints::change_document))
                .put(handler_service(document_endpoints::put_first_document)),
        )
        .at(
            "/v1/document/check",
            post(handler_service(document_endpoints::check_document)),
        )
        .at(
            "/v1/document/history",
            get(handler_service(document_endpoints::history)),
        )
        .at(
            "/v1/key-digest",
            post(handler_service(fleet_endpoints::key_digest)),
        )
        .at("/v1/status", get(handler_service(fleet_endpoints::status)))
        .at(
            "/v1/upstreams",
            get(handler_service(fleet_endpoints::upstreams)),
        )
        .at("/v1/waves", get(handler_service(fleet::waves)))
        .at("/v1/waves/plan", get(handler_service(fleet::wave_plan)))
        .at(
            "/v1/waves/status",
            post(handler_service(fleet::set_wave_status)),
        )
        .at("/v1/vms/pool", post(handler_service(fleet::move_vm)))
        .at("/v1/explain", get(handler_service(fleet::explain)))
        .at("/", handler_service(not_found))
        .at("/{*path}", handler_service(not_found))
        .with_state(context)
        .serve()
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .disable_signal()
        .worker_threads(1)
        .listen(listener.socket)?
        .run()
        .wait()
}

/// Rejects a request for an unknown path.
async fn not_found() -> WebResponse {
    respond::<()>(Err(OperatorErrorResponse::new(ResultCode::NotFound)))
}
