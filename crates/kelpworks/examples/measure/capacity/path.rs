//! The request path: a daemon between callers and fake engines, over loopback sockets.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use crate::capacity::Series;
use crate::capacity::clients;
use crate::capacity::cost;
use crate::support;
use crate::support::ExampleTeam;
use crate::support::Result;
use crate::support::client::Call;
use kelpworks::daemon;
use kelpworks::daemon::Daemon;
use kelpworks_fakes::FakeFleet;
use kelpworks_fakes::FleetConfig;
use kelpworks_fakes::Model;

pub(super) const DAEMON_THREAD_NAME: &str = "cap-daemon";
const THREADS_PER_RUNTIME: usize = 2;
pub(super) const LAYERS: u32 = 24;
const PROMPT: &str = "a red chair by the window";
const TEAM: ExampleTeam = ExampleTeam {
    name: "sellers",
    class: "paying",
    weight: 1,
    token: "t",
};
const CALLERS: usize = 16;
/// Tokens of an answer, and requests that each caller sends.
const ANSWER_SIZES: [(u32, u32); 3] = [(8, 40), (32, 16), (128, 6)];
const STAGE_COUNTS: [u32; 4] = [1, 2, 4, 8];
/// Runs, of which the cheapest counts: other load on the machine makes a step more expensive, never
/// cheaper.
const RUNS: usize = 3;
/// Settings with state polls too rare to affect the measurement.
const RARE_POLLS: &str = "state_poll = \"60 s\"";
const ENGINE_COUNTS: [u32; 3] = [20, 60, 150];
const IDLE_TIME: Duration = Duration::from_secs(5);
const SETTLE_TIME: Duration = Duration::from_secs(2);
const CONNECTION_COUNTS: [usize; 4] = [200, 400, 800, 1_200];
const SESSION_COUNTS: [usize; 3] = [100, 200, 400];
const DEADLINE: Duration = Duration::from_secs(10);
pub(super) const MICROS_PER_SECOND: f64 = 1e6;

/// Separate runtimes for daemon, fakes and callers, so that the processor time of each is known.
pub(super) struct Runtimes {
    pub(super) daemon: Runtime,
    pub(super) fakes: Runtime,
    callers: Runtime,
    metrics: PrometheusHandle,
}

impl Runtimes {
    fn new() -> Result<Runtimes> {
        let named = |name: &str| {
            Builder::new_multi_thread()
                .worker_threads(THREADS_PER_RUNTIME)
                .thread_name(name)
                .enable_all()
                .build()
        };
        Ok(Runtimes {
            daemon: named(DAEMON_THREAD_NAME)?,
            fakes: named("cap-fakes")?,
            callers: named("cap-callers")?,
            metrics: daemon::install_metrics()?,
        })
    }

    pub(super) fn fakes(&self, model: &Model, cfg: FleetConfig) -> Result<FakeFleet> {
        let fakes = self.fakes.block_on(FakeFleet::spawn(cfg))?;
        support::put_config(&fakes, std::slice::from_ref(model), 0.2, &[TEAM])?;
        Ok(fakes)
    }

    fn daemon(&self, fakes: &FakeFleet, timing: &str) -> Result<Daemon> {
        let started = support::start_daemons(fakes, 1, timing, &self.metrics);
        let mut daemons = self.daemon.block_on(started)?;
        daemons.pop().ok_or_else(|| "no daemon".into())
    }
}

pub(super) fn model() -> Model {
    Model::new("captions", "1", LAYERS)
}

/// Measures the request path and the clients of outside systems.
///
/// # Errors
///
/// When the daemon or the fakes can't be started, or an answer is wrong.
pub(super) fn all() -> Result<Vec<Series>> {
    let runtimes = Runtimes::new()?;
    // Memory is measured first: later, reuse of freed memory would hide growth.
    let mut series = upstreams(&runtimes)?;
    series.extend(connections(&runtimes)?);
    series.extend(sessions(&runtimes)?);
    series.extend(caller_bytes(&runtimes)?);
    series.extend(polls(&runtimes)?);
    series.extend(clients::all(&runtimes)?);
    Ok(series)
}

/// Processor time of the daemon by answer length for each number of stages, and the cost per token
/// and per request by number of stages.
fn sessions(runtimes: &Runtimes) -> Result<Vec<Series>> {
    let mut all = Vec::new();
    let mut token = Series::new("driver", "us a token (slopes above)", "stages");
    let mut request = Series::new("caller side", "us a request (intercepts above)", "stages");
    for stages in STAGE_COUNTS {
        let quantity = format!("us a request, {stages} stages");
        let mut time = Series::new("caller side and driver", quantity, "tokens");
        let fakes = runtimes.fakes(&model(), FleetConfig::pipeline(&model(), stages, 1))?;
        let daemon = runtimes.daemon(&fakes, RARE_POLLS)?;
        let base = format!("http://{}", daemon.bound_addresses().callers);
        request_answers(runtimes, &base, 8, 8)?;
        for (tokens, turns) in ANSWER_SIZES {
            let requests = f64::from(turns) * CALLERS as f64;
            let mut received_tokens = 0;
            let mut min_us = f64::INFINITY;
            for _ in 0..RUNS {
                let before = cost::cpu_time_of_threads(DAEMON_THREAD_NAME);
                received_tokens = request_answers(runtimes, &base, tokens, turns)?;
                let spent = (cost::cpu_time_of_threads(DAEMON_THREAD_NAME) - before).as_secs_f64();
                min_us = min_us.min(spent * MICROS_PER_SECOND / requests);
            }
            time.add(received_tokens as f64 / requests, min_us);
        }
        let fit = time.fit();
        token.add(f64::from(stages), fit.slope);
        request.add(f64::from(stages), fit.intercept);
        all.push(time);
        daemon.kill();
    }
    all.extend([token, request]);
    Ok(all)
}

/// Has every caller send `turns` requests and check each answer; returns the number of tokens
/// received.
///
/// # Errors
///
/// When a request fails or an answer differs from the model computed directly.
fn request_answers(runtimes: &Runtimes, base: &str, max_tokens: u32, turns: u32) -> Result<usize> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (base, client) = (base.to_owned(), client.clone());
            runtimes.callers.spawn(async move {
                let mut received_tokens = 0;
                for turn in 0..turns {
                    let call = Call {
                        base: base.clone(),
                        token: TEAM.token.to_owned(),
                        model: model().name().to_owned(),
                        prompt: format!("{PROMPT} {n:03} {turn:03}"),
                        max_tokens,
                    };
                    let answer = call.stream(&client, |_, _| true).await?;
                    if answer.text != model().answer_text(&call.prompt, max_tokens) {
                        return Err("answer text differs from the model computed directly".into());
                    }
                    received_tokens += answer.token_times.len();
                }
                Ok::<usize, Box<dyn std::error::Error + Send + Sync>>(received_tokens)
            })
        })
        .collect();
    let mut received_tokens = 0;
    for caller in callers {
        received_tokens += runtimes.callers.block_on(caller)??;
    }
    Ok(received_tokens)
}

/// Bytes from the daemon to a caller, HTTP headers included, by tokens of the answer.
fn caller_bytes(runtimes: &Runtimes) -> Result<Vec<Series>> {
    let mut bytes = Series::new("caller side", "bytes to the caller, streamed", "tokens");
    let fakes = runtimes.fakes(&model(), FleetConfig::pipeline(&model(), 2, 1))?;
    let daemon = runtimes.daemon(&fakes, RARE_POLLS)?;
    for (tokens, _) in ANSWER_SIZES {
        let mut stream = send_request(daemon.bound_addresses().callers, PROMPT, tokens)?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        let received_tokens = model().answer(&kelpworks_fakes::tokenize(PROMPT.as_bytes()), tokens);
        bytes.add(received_tokens.len() as f64, answer.len() as f64);
    }
    daemon.kill();
    Ok(vec![bytes])
}

/// Opens a connection and sends a request for a streamed answer.
fn send_request(daemon: SocketAddr, prompt: &str, max_tokens: u32) -> Result<TcpStream> {
    let model = model();
    let body = serde_json::json!({
        "model": model.name(), "prompt": prompt, "max_tokens": max_tokens, "stream": true,
    })
    .to_string();
    let mut stream = TcpStream::connect(daemon)?;
    stream.set_read_timeout(Some(DEADLINE))?;
    write!(
        stream,
        "POST /v1/completions HTTP/1.1\r\nhost: daemon\r\nauthorization: Bearer {}\r\n\
         content-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        TEAM.token,
        body.len()
    )?;
    Ok(stream)
}

/// Memory of a daemon by number of upstreams. All daemons run until the last has been measured, so
/// that no freed memory is reused.
fn upstreams(runtimes: &Runtimes) -> Result<Vec<Series>> {
    let quantity = "bytes, with the stand-ins' ends";
    let mut memory = Series::new("upstream connections", quantity, "upstreams");
    let mut kept = Vec::new();
    for engines in ENGINE_COUNTS {
        let fakes = runtimes.fakes(&model(), FleetConfig::pipeline(&model(), 4, engines / 4))?;
        let upstreams = (fakes.engines.len() + fakes.services.len()) as f64;
        let before = cost::resident_bytes();
        let daemon = runtimes.daemon(&fakes, "")?;
        std::thread::sleep(SETTLE_TIME);
        memory.add(
            upstreams,
            cost::resident_bytes().saturating_sub(before) as f64,
        );
        kept.push((fakes, daemon));
    }
    kept.into_iter().for_each(|(_, daemon)| daemon.kill());
    std::thread::sleep(SETTLE_TIME);
    Ok(vec![memory])
}

/// Processor time of the state polls of an idle daemon, by number of upstreams.
fn polls(runtimes: &Runtimes) -> Result<Vec<Series>> {
    let role = "state polls";
    let mut time = Series::new(
        role,
        "us/s of processor, idle daemon, 2 polls/s",
        "upstreams",
    );
    let model = model();
    for engines in ENGINE_COUNTS {
        let fakes = runtimes.fakes(&model, FleetConfig::pipeline(&model, 4, engines / 4))?;
        let upstreams = (fakes.engines.len() + fakes.services.len()) as f64;
        let daemon = runtimes.daemon(&fakes, "")?;
        std::thread::sleep(SETTLE_TIME);
        let before = cost::cpu_time_of_threads(DAEMON_THREAD_NAME);
        std::thread::sleep(IDLE_TIME);
        let spent = (cost::cpu_time_of_threads(DAEMON_THREAD_NAME) - before).as_secs_f64();
        time.add(
            upstreams,
            spent * MICROS_PER_SECOND / IDLE_TIME.as_secs_f64(),
        );
        daemon.kill();
        std::thread::sleep(SETTLE_TIME);
    }
    Ok(vec![time])
}

/// Memory of idle caller connections and of running sessions, by their number.
fn connections(runtimes: &Runtimes) -> Result<Vec<Series>> {
    let mut idle_memory = Series::new("caller side", "bytes of idle connections", "connections");
    let mut session_memory = Series::new(
        "driver",
        "bytes of sessions, with the stand-ins' state",
        "sessions",
    );
    let mut cfg = FleetConfig::pipeline(&model(), 4, 1);
    for engine in &mut cfg.engines {
        engine.iteration_base = Duration::from_millis(200);
        engine.max_batch = 1_024;
    }
    let fakes = runtimes.fakes(&model(), cfg)?;
    let daemon = runtimes.daemon(&fakes, RARE_POLLS)?;
    let address = daemon.bound_addresses().callers;
    let before = cost::resident_bytes();
    let mut kept = Vec::new();
    for count in CONNECTION_COUNTS {
        while kept.len() < count {
            kept.push(idle_connection(address)?);
        }
        idle_memory.add(
            count as f64,
            cost::resident_bytes().saturating_sub(before) as f64,
        );
    }
    let before = cost::resident_bytes();
    let mut running = Vec::new();
    for count in SESSION_COUNTS {
        while running.len() < count {
            running.push(send_request(
                address,
                &format!("{PROMPT} {:04}", running.len()),
                200,
            )?);
        }
        std::thread::sleep(Duration::from_secs(4));
        session_memory.add(
            count as f64,
            cost::resident_bytes().saturating_sub(before) as f64,
        );
    }
    let mut answering = 0;
    for stream in &mut running {
        stream.set_read_timeout(Some(Duration::from_millis(1)))?;
        answering += usize::from(stream.read(&mut [0; 512]).is_ok_and(|n| n > 0));
    }
    eprintln!(
        "{answering} of {} held sessions had begun to answer",
        running.len()
    );
    drop(running);
    drop(kept);
    daemon.kill();
    Ok(vec![idle_memory, session_memory])
}

/// Opens a connection and leaves it open after one small response.
fn idle_connection(daemon: SocketAddr) -> Result<TcpStream> {
    let mut stream = TcpStream::connect(daemon)?;
    stream.set_read_timeout(Some(DEADLINE))?;
    stream.write_all(b"GET /none HTTP/1.1\r\nhost: daemon\r\n\r\n")?;
    let read = stream.read(&mut [0; 2_048])?;
    if read == 0 {
        return Err("the daemon closed a connection".into());
    }
    Ok(stream)
}
