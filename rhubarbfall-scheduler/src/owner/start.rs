//! Start of an owner: what earlier owners have stored, and the background loops.

use std::pin::Pin;
use std::rc::Rc;

use rhubarbfall_site::StoreError;

use super::{
    Owner, cancellation_feed, lending_loop, state_rows, store_loop, tick_loop, vm_loop,
    wave_reports, worker_list,
};
use crate::node::Node;
use crate::processor_time::Activity;
use crate::supervision::spawn_owner_loop;

/// Loads the state stored by earlier owners and starts the background loops. Returns false if the
/// ownership has ended meanwhile.
pub(crate) async fn start(node: &Rc<Node>, owner: &Rc<Owner>) -> bool {
    if let Err(error) = load(node, owner).await {
        log::warn!("event=load_failed cell={} error={error}", owner.cell.id);
        owner.end();
        return false;
    }
    if owner.cell.known_owner.borrow().fencing_number > owner.fencing_number() {
        log::warn!(
            "event=superseded_while_loading cell={} fence={}",
            owner.cell.id,
            owner.fencing_number()
        );
        owner.end();
        return false;
    }
    owner.is_loaded.set(true);
    *owner.cell.owner.borrow_mut() = Some(Rc::clone(owner));
    metrics::gauge!("is_owner").increment(1.0);
    spawn_loops(node, owner);
    true
}

/// Passes the state stored by earlier owners to the scheduler.
async fn load(node: &Node, owner: &Owner) -> Result<(), StoreError> {
    let state_rows::LoadedState {
        jobs,
        waves,
        early_cancellations,
        unreadable,
    } = state_rows::load(node, &owner.cell).await?;
    lending_loop::load(node, owner).await?;
    let (now, unix_ms) = (node.now(), node.unix_ms());
    let inherited_until = owner.inherited_leases_until.get();
    log::info!(
        "event=loaded cell={} cells={} jobs={} inherited_until={inherited_until} vm_orders_left={:?}",
        owner.cell.id,
        owner.layout.count(),
        jobs.len(),
        owner.vm_orders.remaining(now)
    );
    let config = node.config.borrow().clone();
    let requested: Vec<_> = node
        .waves
        .borrow()
        .iter()
        .map(|(_, wave)| wave.clone())
        .collect();
    owner.with(|scheduler| {
        scheduler.set_config(config);
        node.pass_operator_view(scheduler);
        scheduler.recover(jobs, inherited_until, now, unix_ms);
        scheduler.expect_longest_leases_until(owner.earlier_version_leases_until);
        scheduler.await_inherited_vm_orders(now + owner.vm_orders.remaining(now));
        scheduler.apply_stored_cancellations(early_cancellations, now);
        scheduler.recover_unreadable(unreadable);
        scheduler.recover_waves(waves);
        for wave in requested {
            scheduler.wave_requested(wave, None, now, unix_ms);
        }
    });
    Ok(())
}

/// Starts the background loops of an owner.
fn spawn_loops(node: &Rc<Node>, owner: &Rc<Owner>) {
    let spawn = |name, activity, work: Pin<Box<dyn Future<Output = ()>>>| {
        spawn_owner_loop(node, owner, name, activity, work);
    };
    let (of_node, of_owner) = (|| Rc::clone(node), || Rc::clone(owner));
    spawn(
        "store",
        Activity::Rows,
        Box::pin(store_loop::run(of_node(), of_owner())),
    );
    spawn(
        "wave_reports",
        Activity::Rows,
        Box::pin(wave_reports::run(of_node(), of_owner())),
    );
    spawn(
        "cancellations",
        Activity::Feeds,
        Box::pin(cancellation_feed::run(of_node(), of_owner())),
    );
    spawn(
        "workers",
        Activity::Feeds,
        Box::pin(worker_list::run(of_node(), of_owner())),
    );
    spawn(
        "vms",
        Activity::Vms,
        Box::pin(vm_loop::run(of_node(), of_owner())),
    );
    spawn(
        "ticks",
        Activity::Ticks,
        Box::pin(tick_loop::run(of_node(), of_owner())),
    );
    if !owner.layout.is_single() {
        spawn(
            "shares",
            Activity::Rows,
            Box::pin(lending_loop::follow(of_node(), of_owner())),
        );
        spawn(
            "reports",
            Activity::Rows,
            Box::pin(lending_loop::report(of_node(), of_owner())),
        );
    }
}
