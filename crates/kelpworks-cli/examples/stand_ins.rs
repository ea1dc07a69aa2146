//! Runs the fakes of outside systems in a process of their own.
//!
//! `cargo run --example stand_ins -- --stages 3 --replicas 2` starts a whole set and prints one
//! line of JSON with all addresses once the fakes serve. `-- --only engine --name e --layers 0..8
//! --port 4000` starts a single engine, so that a test can kill or freeze it. The process exits
//! when its standard input closes, or on SIGTERM.

use std::io::Read;
use std::io::stdin;
use std::ops::Range;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use pico_args::Arguments;
use thiserror::Error;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::oneshot;

use kelpworks_fakes::Engine;
use kelpworks_fakes::EngineConfig;
use kelpworks_fakes::FakeFleet;
use kelpworks_fakes::FleetConfig;
use kelpworks_fakes::Model;
use kelpworks_fakes::PlainService;
use kelpworks_fakes::PlainServiceConfig;
use kelpworks_fakes::fleet::EngineView;
use kelpworks_fakes::fleet::ServiceView;

const HELP: &str = "\
Starts stand-ins and prints one line of JSON with their addresses.

USAGE: stand_ins [OPTIONS]

  --only engine|service   Start a single one in place of a whole set
  --model NAME            Model [default: demo]
  --model-version V       Version of the model [default: 1]
  --model-layers N        Layers of the model [default: 12]
  --iteration-ms N        Fixed time of an engine's iteration [default: 0]
  --layer-rate R          Layers of a position that an engine runs a second [default: no limit]
  --ignores-fencing       Engines take orders with an old fencing token
 A whole set:
  --stages N              Stages of the pipeline [default: 3]
  --replicas N            Replicas of each stage [default: 2]
 A single one:
  --name NAME             Host name [default: single]
  --port P                Loopback port [default: a free one]
  --failure-domain NAME   Failure domain [default: domain-0]
  --layers A..B           Layers that the engine holds [default: all]
  --weight-store URL      Where the engine loads layers from [default: nowhere]
  --service NAME          Service that it runs [default: jobs]
";

type Result<T> = std::result::Result<T, Error>;

#[derive(Debug)]
#[derive(Error)]
enum Error {
    #[error("{0}; see --help")]
    Usage(#[from] pico_args::Error),
    #[error("unknown {what} `{given}`; see --help")]
    Unknown { what: &'static str, given: String },
    #[error("{0}")]
    StandIn(#[from] kelpworks_fakes::Error),
    #[error("{0}")]
    Print(#[from] serde_json::Error),
    #[error("cannot wait for SIGTERM: {0}")]
    Signal(#[from] std::io::Error),
}

/// The fakes to start.
enum Plan {
    Fleet(FleetConfig),
    Engine(EngineConfig),
    Service(PlainServiceConfig),
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("stand_ins: {e}");
            ExitCode::from(2)
        }
    }
}

async fn run(args: Arguments) -> Result<()> {
    match plan(args)? {
        Plan::Fleet(cfg) => {
            let fleet = FakeFleet::spawn(cfg).await?;
            println!("{}", serde_json::to_string(&fleet.view())?);
            wait_for_shutdown().await
        }
        Plan::Engine(cfg) => {
            let engine = Engine::spawn(cfg).await?;
            println!("{}", serde_json::to_string(&EngineView::of(&engine))?);
            wait_for_shutdown().await
        }
        Plan::Service(cfg) => {
            let service = PlainService::spawn(cfg).await?;
            println!("{}", serde_json::to_string(&ServiceView::of(&service))?);
            wait_for_shutdown().await
        }
    }
}

fn plan(mut args: Arguments) -> Result<Plan> {
    let only: Option<String> = args.opt_value_from_str("--only")?;
    let plan = match only.as_deref() {
        None => Plan::Fleet(fleet(&mut args)?),
        Some("engine") => Plan::Engine(engine(&mut args)?),
        Some("service") => Plan::Service(service(&mut args)?),
        Some(_) => return Err(unknown("stand-in", only)),
    };
    match args.finish().into_iter().next() {
        None => Ok(plan),
        Some(rest) => Err(unknown("option", rest.into_string().ok())),
    }
}

fn unknown(what: &'static str, given: Option<String>) -> Error {
    let given = given.unwrap_or_default();
    Error::Unknown { what, given }
}

fn model(args: &mut Arguments) -> Result<Model> {
    let name: Option<String> = args.opt_value_from_str("--model")?;
    let version: Option<String> = args.opt_value_from_str("--model-version")?;
    let layers = args.opt_value_from_str("--model-layers")?.unwrap_or(12);
    let name = name.as_deref().unwrap_or("demo");
    Ok(Model::new(name, version.as_deref().unwrap_or("1"), layers))
}

fn fleet(args: &mut Arguments) -> Result<FleetConfig> {
    let model = model(args)?;
    let stages = args.opt_value_from_str("--stages")?.unwrap_or(3);
    let replicas = args.opt_value_from_str("--replicas")?.unwrap_or(2);
    if stages == 0 || replicas == 0 || stages > model.layers() {
        let given = Some(format!("{stages} stages, {replicas} replicas"));
        return Err(unknown("shape", given));
    }
    let options = EngineOptions::parse(args)?;
    let mut fleet = FleetConfig::pipeline(&model, stages, replicas);
    fleet.engines.iter_mut().for_each(|e| options.apply(e));
    Ok(fleet)
}

fn engine(args: &mut Arguments) -> Result<EngineConfig> {
    let model = model(args)?;
    let name: Option<String> = args.opt_value_from_str("--name")?;
    let name = name.as_deref().unwrap_or("single");
    let mut cfg = EngineConfig::new(name, vec![model.clone()]);
    let layers = args.opt_value_from_fn("--layers", parse_range)?;
    cfg.load(model.name(), layers.unwrap_or(0..model.layers()));
    cfg.port = args.opt_value_from_str("--port")?.unwrap_or(0);
    cfg.weight_store = args.opt_value_from_str("--weight-store")?;
    if let Some(domain) = args.opt_value_from_str("--failure-domain")? {
        cfg.failure_domain = domain;
    }
    EngineOptions::parse(args)?.apply(&mut cfg);
    Ok(cfg)
}

fn service(args: &mut Arguments) -> Result<PlainServiceConfig> {
    let name: Option<String> = args.opt_value_from_str("--name")?;
    let service: Option<String> = args.opt_value_from_str("--service")?;
    let name = name.as_deref().unwrap_or("single");
    let mut cfg = PlainServiceConfig::new(name, service.as_deref().unwrap_or("jobs"));
    cfg.port = args.opt_value_from_str("--port")?.unwrap_or(0);
    if let Some(domain) = args.opt_value_from_str("--failure-domain")? {
        cfg.failure_domain = domain;
    }
    Ok(cfg)
}

fn parse_range(text: &str) -> std::result::Result<Range<u32>, String> {
    let ends = text.split_once("..");
    let parsed = ends.and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    parsed.ok_or_else(|| format!("`{text}` is not like `0..8`"))
}

/// Options that apply to every engine.
struct EngineOptions {
    iteration: Duration,
    layer_rate: f64,
    checks_fencing: bool,
}

impl EngineOptions {
    fn parse(args: &mut Arguments) -> Result<EngineOptions> {
        let ms = args.opt_value_from_str("--iteration-ms")?.unwrap_or(0);
        let rate = args.opt_value_from_str("--layer-rate")?;
        Ok(EngineOptions {
            iteration: Duration::from_millis(ms),
            layer_rate: rate.unwrap_or(f64::INFINITY),
            checks_fencing: !args.contains("--ignores-fencing"),
        })
    }

    fn apply(&self, cfg: &mut EngineConfig) {
        cfg.iteration_base = self.iteration;
        cfg.layer_rate = self.layer_rate;
        cfg.checks_fencing = self.checks_fencing;
    }
}

/// Waits for SIGTERM or the end of standard input.
async fn wait_for_shutdown() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let (tx, rx) = oneshot::channel();
    // Reads on a separate thread, since a blocking read would delay the shutdown of the runtime.
    thread::spawn(move || {
        let _ = stdin().read_to_end(&mut Vec::new());
        let _ = tx.send(());
    });
    tokio::select! {
        _ = terminate.recv() => {}
        _ = rx => {}
    }
    Ok(())
}
