use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_wire::PeerNetwork;
use tokio::time::{sleep, timeout};

use super::loans;
use super::rights_ledger::{RightsLedger, hand_over};
use super::work_summaries::WorkSummaries;
use crate::Shared;

/// Interval at which loans and fair shares are updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for the hand-over of the rights of a stopping process.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps rights and fair shares up to date until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let network = wait_for_network(&shared).await;
    let incarnation = network.identity().incarnation;
    shared
        .dispatcher
        .with_admission(|admission| admission.rights_mut().set_incarnation(incarnation));
    loans::register(&shared, &network);
    let summaries = WorkSummaries::register(&shared, &network);
    let ledger = RightsLedger::new(Arc::clone(&shared), network.clone());
    tokio::task::spawn_local(ledger.run());
    loop {
        loans::send_requests(&shared, &network);
        summaries.exchange_and_divide(&shared, &network);
        sleep(UPDATE_INTERVAL).await;
    }
}

/// Releases the rights of a stopping process, if the table responds in time.
pub(crate) async fn hand_over_rights(shared: &Arc<Shared>) {
    match timeout(HAND_OVER_TIMEOUT, hand_over(shared)).await {
        Ok(Ok(())) => log::info!("event=rights-handed-over"),
        Ok(Err(error)) => log::warn!("event=rights-kept error={error}"),
        Err(_) => log::warn!("event=rights-kept error=timeout"),
    }
}

async fn wait_for_network(shared: &Shared) -> PeerNetwork {
    loop {
        if let Some(network) = shared.membership.network() {
            return network.clone();
        }
        sleep(UPDATE_INTERVAL).await;
    }
}
