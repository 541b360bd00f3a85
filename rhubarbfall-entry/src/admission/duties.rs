use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_wire::PeerNetwork;
use tokio::time::sleep;

use super::ledger::Ledger;
use super::loans;
use super::summaries::Summaries;
use crate::Shared;

/// How often rights and portions are looked at.
const TICK: Duration = Duration::from_millis(100);

/// Keeps rights and portions up to date until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let network = started_network(&shared).await;
    let incarnation = network.identity().incarnation;
    shared
        .dispatcher
        .change(|admission| admission.rights_mut().set_incarnation(incarnation));
    loans::register(&shared, &network);
    let summaries = Summaries::register(&shared, &network);
    let ledger = Ledger::new(Arc::clone(&shared), network.clone());
    tokio::task::spawn_local(ledger.run());
    loop {
        loans::ask(&shared, &network);
        summaries.exchange(&shared, &network);
        sleep(TICK).await;
    }
}

async fn started_network(shared: &Shared) -> PeerNetwork {
    loop {
        if let Some(network) = shared.membership.network() {
            return network.clone();
        }
        sleep(TICK).await;
    }
}
