//! The daemon's clients of outside systems in isolation: step messages and state polls to engines,
//! and reads of the host list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::capacity::Series;
use crate::capacity::cost;
use crate::capacity::path::DAEMON_THREAD_NAME;
use crate::capacity::path::LAYERS;
use crate::capacity::path::MICROS_PER_SECOND;
use crate::capacity::path::Runtimes;
use crate::capacity::path::model;
use crate::capacity::tap::Tap;
use crate::support::Result;
use kelpworks::clients::engine::Engine;
use kelpworks::clients::engine::HttpEngine;
use kelpworks::clients::host_list;
use kelpworks::clients::host_list::HostListApi;
use kelpworks::clients::host_list::HttpHostList;
use kelpworks_fakes::FakeHostList;
use kelpworks_fakes::FleetConfig;
use kelpworks_fakes::HostListConfig;
use kelpworks_wire::Class;
use kelpworks_wire::HandleRef;
use kelpworks_wire::HostEntry;
use kelpworks_wire::HostState;
use kelpworks_wire::LayerRange;
use kelpworks_wire::OutputForm;
use kelpworks_wire::Step;
use kelpworks_wire::StepBatch;
use kelpworks_wire::StepBatchReply;
use kelpworks_wire::StepInput;
use kelpworks_wire::StepOutcome;

const BATCH_SIZES: [u32; 4] = [1, 8, 32, 64];
const SENDERS: u32 = 8;
const STEPS_PER_SENDER: u32 = 2_000;
const POSITION_COUNTS: [u32; 3] = [1, 16, 64];
const SESSION_ID: &str = "0123456789abcdef0123456789abcdef";
const DEADLINE: Duration = Duration::from_secs(10);
/// Hosts on the platform's list. The last is that of the target fleet: daemons and upstreams
/// together.
const HOST_COUNTS: [usize; 3] = [100, 400, 970];
const LIST_READS: u32 = 200;

/// Measures step messages, state polls and reads of the host list.
///
/// # Errors
///
/// When a fake can't be started or refuses a request.
pub(super) fn all(runtimes: &Runtimes) -> Result<Vec<Series>> {
    let mut series = step_messages(runtimes)?;
    series.extend(step_bytes(runtimes)?);
    series.extend(poll_bytes(runtimes)?);
    series.extend(host_list(runtimes)?);
    Ok(series)
}

/// Processor time and bytes of one step message, by the number of steps in it.
fn step_messages(runtimes: &Runtimes) -> Result<Vec<Series>> {
    let mut time = Series::new("driver", "us a step message, border only", "steps in it");
    let mut bytes = Series::new("driver", "bytes a step message, both ways", "steps in it");
    let model = model();
    for steps in BATCH_SIZES {
        let fakes = runtimes.fakes(&model, FleetConfig::pipeline(&model, 4, 1))?;
        let tap = Tap::spawn(&runtimes.fakes, fakes.engines[0].addr())?;
        let direct: Arc<str> = fakes.engines[0].url().into();
        let engine = Arc::new(HttpEngine::new(DEADLINE));
        let turns = (STEPS_PER_SENDER / steps).max(60);
        send(runtimes, &engine, &direct, "warm", steps, 8)?;
        let before = cost::cpu_time_of_threads(DAEMON_THREAD_NAME);
        send(runtimes, &engine, &direct, "timed", steps, turns)?;
        let spent = (cost::cpu_time_of_threads(DAEMON_THREAD_NAME) - before).as_secs_f64();
        let count = f64::from(turns * SENDERS);
        time.add(f64::from(steps), spent * MICROS_PER_SECOND / count);
        send(runtimes, &engine, &tap.url(), "tapped", steps, 10)?;
        let count = f64::from(10 * SENDERS);
        bytes.add(f64::from(steps), tap.bytes() as f64 / count);
    }
    Ok(vec![time, bytes])
}

/// Sends `turns` messages from each of [`SENDERS`] concurrent senders; a message has `steps` steps,
/// each of a different session.
fn send(
    runtimes: &Runtimes,
    engine: &Arc<HttpEngine>,
    url: &Arc<str>,
    run: &'static str,
    steps: u32,
    turns: u32,
) -> Result<()> {
    let senders: Vec<_> = (0..SENDERS)
        .map(|sender| {
            let (engine, url) = (Arc::clone(engine), Arc::clone(url));
            runtimes.daemon.spawn(async move {
                for turn in 0..turns {
                    let step = |n| {
                        let session = format!("{SESSION_ID}-{run}-{sender}-{n}");
                        let input = StepInput::Tokens(vec![7]);
                        step(session, 0, turn, input, OutputForm::Handle)
                    };
                    let batch = StepBatch {
                        steps: (0..steps).map(step).collect(),
                    };
                    let reply = engine.steps(&url, &batch, DEADLINE).await?;
                    check(&reply)?;
                }
                Ok::<(), Box<dyn std::error::Error + Send + Sync>>(())
            })
        })
        .collect();
    for sender in senders {
        runtimes.daemon.block_on(sender)??;
    }
    Ok(())
}

fn check(reply: &StepBatchReply) -> Result<()> {
    let ran = |o: &StepOutcome| !matches!(o, StepOutcome::Busy(_) | StepOutcome::Refused(_));
    match reply.replies.iter().find(|r| !ran(&r.outcome)) {
        Some(r) => Err(format!("a step was not run: {:?}", r.outcome).into()),
        None => Ok(()),
    }
}

/// A step for the layers of the `stage`th of four stages.
fn step(session: String, stage: u32, position: u32, input: StepInput, output: OutputForm) -> Step {
    let model = model();
    Step {
        session,
        attempt: stage,
        position,
        layers: LayerRange {
            first: stage * LAYERS / 4,
            end: (stage + 1) * LAYERS / 4,
        },
        model: model.name().to_owned(),
        version: model.version().to_owned(),
        class: Class::Paying,
        input,
        output,
        deadline_ms: DEADLINE.as_millis() as u32,
        prefix: String::new(),
    }
}

/// Bytes of one step of a middle stage, by the number of positions and the form of its input.
fn step_bytes(runtimes: &Runtimes) -> Result<Vec<Series>> {
    let mut all = Vec::new();
    let model = model();
    for (name, form) in [
        ("handle", OutputForm::Handle),
        ("inline", OutputForm::Inline),
    ] {
        let quantity = format!("bytes a step by {name}, both ways");
        let mut bytes = Series::new("driver", quantity, "positions");
        for count in POSITION_COUNTS {
            let fakes = runtimes.fakes(&model, FleetConfig::pipeline(&model, 4, 1))?;
            let tap = Tap::spawn(&runtimes.fakes, fakes.engines[1].addr())?;
            let first: Arc<str> = fakes.engines[0].url().into();
            let engine = HttpEngine::new(DEADLINE);
            let tokens = StepInput::Tokens(vec![7; count as usize]);
            let first_step = step(SESSION_ID.to_owned(), 0, 0, tokens, form);
            let reply = runtimes
                .daemon
                .block_on(run_step(&engine, &first, first_step))?;
            let input = match reply {
                StepOutcome::Rows(rows) => StepInput::Rows(rows),
                StepOutcome::Handle(handle) => StepInput::Handle(HandleRef {
                    count,
                    handle,
                    upstream: first.to_string(),
                }),
                other => return Err(format!("no output: {other:?}").into()),
            };
            let next = step(SESSION_ID.to_owned(), 1, 0, input, form);
            runtimes
                .daemon
                .block_on(run_step(&engine, &tap.url(), next))?;
            bytes.add(f64::from(count), tap.bytes() as f64);
        }
        all.push(bytes);
    }
    Ok(all)
}

async fn run_step(engine: &HttpEngine, url: &Arc<str>, step: Step) -> Result<StepOutcome> {
    let batch = StepBatch { steps: vec![step] };
    let mut reply = engine.steps(url, &batch, DEADLINE).await?;
    check(&reply)?;
    let first = reply.replies.pop().ok_or("no reply")?;
    Ok(first.outcome)
}

/// Bytes of state polls, by their number.
fn poll_bytes(runtimes: &Runtimes) -> Result<Vec<Series>> {
    let model = model();
    let mut bytes = Series::new("state polls", "bytes of polls, both ways", "polls");
    let fakes = runtimes.fakes(&model, FleetConfig::pipeline(&model, 4, 1))?;
    let tap = Tap::spawn(&runtimes.fakes, fakes.engines[0].addr())?;
    let (engine, url) = (HttpEngine::new(DEADLINE), tap.url());
    let mut polled = 0;
    for polls in [10, 20, 40] {
        while polled < polls {
            let state = engine.state(&url, DEADLINE);
            runtimes.daemon.block_on(state)?;
            polled += 1;
        }
        bytes.add(f64::from(polls), tap.bytes() as f64);
    }
    Ok(vec![bytes])
}

/// Processor time and bytes of a read of the platform's host list, by the number of hosts.
fn host_list(runtimes: &Runtimes) -> Result<Vec<Series>> {
    let mut time = Series::new("host list", "us of processor a read", "hosts");
    let mut bytes = Series::new("host list", "bytes a read, both ways", "hosts");
    for size in HOST_COUNTS {
        let cfg = HostListConfig {
            hosts: (0..size).map(host_entry).collect(),
            ..HostListConfig::default()
        };
        let list = runtimes.fakes.block_on(FakeHostList::spawn(cfg))?;
        let tap = Tap::spawn(&runtimes.fakes, address_of(&list)?)?;
        let api = HttpHostList::new(&tap.url(), host_list::Deadlines::default())?;
        let before = cost::cpu_time_of_threads(DAEMON_THREAD_NAME);
        let reads = runtimes.daemon.spawn(async move {
            for _ in 0..LIST_READS {
                api.hosts().await?;
            }
            host_list::Result::Ok(())
        });
        runtimes.daemon.block_on(reads)??;
        let spent = (cost::cpu_time_of_threads(DAEMON_THREAD_NAME) - before).as_secs_f64();
        time.add(
            size as f64,
            spent * MICROS_PER_SECOND / f64::from(LIST_READS),
        );
        bytes.add(size as f64, tap.bytes() as f64 / f64::from(LIST_READS));
    }
    Ok(vec![time, bytes])
}

fn host_entry(n: usize) -> HostEntry {
    HostEntry {
        name: format!("engine-host-{n}"),
        address: format!("10.0.{}.{}:8000", n / 250, n % 250 + 1),
        failure_domain: format!("domain-{}", n % 4),
        state: HostState::Live,
    }
}

fn address_of(list: &FakeHostList) -> Result<SocketAddr> {
    Ok(list.url().trim_start_matches("http://").parse()?)
}
