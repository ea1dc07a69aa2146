//! Strikes with the faults of a plan, and takes them back.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use kelpworks_fakes::Link;
use kelpworks_fakes::LinkState;
use rustix::process::Signal;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::limits::Announced;
use crate::plan::Fault;
use crate::plan::Plan;
use crate::plan::Step;
use crate::relay_site::BOUND;
use crate::relay_site::daemon::Relay;
use crate::site::Daemon;
use crate::site::Soak;
use crate::site::document;

/// Time for which a store that comes back from a copy is down.
const RESTORE_TAKES: Duration = Duration::from_millis(100);
/// Time after which operators and engines have written again.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(250);

/// Carries a plan out, and returns once all faults are over.
pub(crate) async fn carry_out(soak: &Arc<Soak>, plan: &Plan) {
    let mut steps = JoinSet::new();
    for step in &plan.steps {
        steps.spawn(carry_out_step(Arc::clone(soak), *step));
    }
    tokio::time::sleep(plan.length).await;
    while let Some(done) = steps.join_next().await {
        done.expect("no panic of a fault");
    }
    heal(soak);
}

/// Ends what overlapping faults may have left behind.
fn heal(soak: &Soak) {
    soak.store.set_down(false);
    soak.store.set_loses_replies(false);
    soak.store.set_unanswering(false);
    soak.app_link.set(LinkState::Pass);
    for daemon in &soak.daemons {
        daemon.store.set(LinkState::Pass);
    }
    for at in &soak.engines {
        at.link.set(LinkState::Pass);
        at.engine.set_stopped(false);
        at.engine.set_fault(None);
        at.registers.store(true, Ordering::Relaxed);
    }
}

async fn carry_out_step(soak: Arc<Soak>, step: Step) {
    tokio::time::sleep(step.at).await;
    let lasts = step.lasts;
    let _disturbance = soak.limits.disturb(step.fault);
    match step.fault {
        Fault::StoreDown => {
            soak.store.set_down(true);
            tokio::time::sleep(lasts).await;
            soak.store.set_down(false);
        }
        Fault::StoreLosesReplies => {
            soak.store.set_loses_replies(true);
            tokio::time::sleep(lasts).await;
            soak.store.set_loses_replies(false);
        }
        Fault::StoreUnanswering => {
            soak.store.set_unanswering(true);
            tokio::time::sleep(lasts).await;
            soak.store.set_unanswering(false);
        }
        Fault::StoreForgets => soak.store.forget_history(),
        Fault::StoreRestored => restore(&soak, lasts).await,
        Fault::StoreLink(i, state) => hold(&soak.daemons[i].store, state, lasts).await,
        Fault::EngineLink(i, state) => hold(&soak.engines[i].link, state, lasts).await,
        Fault::AppLink(state) => hold(&soak.app_link, state, lasts).await,
        Fault::EngineStops(i) => {
            soak.engines[i].engine.set_stopped(true);
            tokio::time::sleep(lasts).await;
            soak.engines[i].engine.set_stopped(false);
        }
        Fault::EngineFails(i, fault) => soak.engines[i].engine.set_fault(Some(fault)),
        Fault::EngineLeaves(i) => {
            let at = &soak.engines[i];
            at.registers.store(false, Ordering::Relaxed);
            soak.store.delete("servers", &at.engine.instance);
            tokio::time::sleep(lasts).await;
            at.registers.store(true, Ordering::Relaxed);
        }
        Fault::EngineLimits(i, per_second) => limit(&soak, i, per_second, lasts).await,
        Fault::Kill(i) => kill(&soak, i, lasts).await,
        Fault::Pause(i) => {
            let relay = soak.daemons[i].relay.lock().await;
            relay.signal(Signal::STOP);
            tokio::time::sleep(lasts).await;
            relay.signal(Signal::CONT);
        }
        Fault::Stop(i) => stop(&soak, i).await,
        Fault::Reload(i) => soak.daemons[i].relay.lock().await.signal(Signal::HUP),
        Fault::Configure => {
            let version = soak.version.fetch_add(1, Ordering::Relaxed) + 1;
            soak.store.put("config", "main", document(version));
        }
    }
}

/// Takes the store back to a copy. Its operators and the engines write again what they had written.
async fn restore(soak: &Soak, lasts: Duration) {
    let _one_at_a_time = soak.restoring.lock().await;
    soak.store.take_copy();
    tokio::time::sleep(lasts).await;
    soak.store.set_down(true);
    soak.store.restore();
    tokio::time::sleep(RESTORE_TAKES).await;
    soak.store.set_down(false);
    tokio::time::sleep(WRITTEN_AGAIN_AFTER).await;
    for at in soak
        .engines
        .iter()
        .filter(|at| !at.registers.load(Ordering::Relaxed))
    {
        soak.store.delete("servers", &at.engine.instance);
    }
    let mut version = 0;
    while version < soak.version.load(Ordering::Relaxed) {
        version = soak.version.load(Ordering::Relaxed);
        soak.store.put("config", "main", document(version));
    }
}

/// Lets an engine announce a limit for a while.
async fn limit(soak: &Soak, i: usize, per_second: f64, lasts: Duration) {
    let limit = soak.engines[i].engine.limit();
    let from = Instant::now();
    limit.announce(Some(&per_second.to_string()));
    tokio::time::sleep(lasts).await;
    soak.limits.announced(Announced {
        engine: i,
        per_second,
        from,
        to: Instant::now(),
    });
    limit.announce(None);
}

async fn hold(link: &Link, state: LinkState, lasts: Duration) {
    link.set(state);
    tokio::time::sleep(lasts).await;
    link.set(LinkState::Pass);
}

async fn kill(soak: &Soak, i: usize, lasts: Duration) {
    let daemon = &soak.daemons[i];
    let mut relay = daemon.relay.lock().await;
    still_runs(soak, i, &mut relay);
    daemon.incarnation.fetch_add(1, Ordering::SeqCst);
    relay.kill();
    tokio::time::sleep(lasts).await;
    start_again(daemon, &mut relay).await;
}

async fn stop(soak: &Soak, i: usize) {
    let daemon = &soak.daemons[i];
    let mut relay = daemon.relay.lock().await;
    still_runs(soak, i, &mut relay);
    relay.signal(Signal::TERM);
    if !relay.ended().await {
        soak.broke(format!(
            "daemon {i} ended with an error after a planned stop"
        ));
    }
    daemon.incarnation.fetch_add(1, Ordering::SeqCst);
    start_again(daemon, &mut relay).await;
}

/// Starts a daemon and waits until it listens: a signal that comes before a program's first
/// instructions ends it, whatever the program is.
async fn start_again(daemon: &Daemon, relay: &mut Relay) {
    relay.start_again();
    let until = Instant::now() + BOUND;
    while TcpStream::connect(daemon.callers).await.is_err() && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    daemon.incarnation.fetch_add(1, Ordering::SeqCst);
}

/// No daemon ends by itself.
pub(crate) fn still_runs(soak: &Soak, i: usize, relay: &mut Relay) {
    if relay.has_ended() {
        soak.broke(format!("daemon {i} ended by itself; see its log"));
    }
}
