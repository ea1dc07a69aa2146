//! Streams that may not be repeated, while one of six servers of the model drains as planned.

#[path = "../standins-2/common.rs"]
mod common;

use std::net::TcpStream;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;

const HOST: &str = "models.example";
const ZONES: [&str; 2] = ["hall-a", "hall-b"];
const SERVERS_PER_ZONE: usize = 3;
const LAYERS: u16 = 8;
/// Callers, each with one stream at a time on a connection that it keeps.
const CALLERS: usize = 24;
/// Length of the traffic.
const DAY: Duration = Duration::from_secs(20);
/// When a server begins to drain: `scale_in` of one server.
const DRAINS_AT: Duration = Duration::from_secs(5);
/// `drain-ms`, after which a server that drains goes once its streams have ended.
const DRAIN: Duration = Duration::from_millis(2_000);
const EVENTS: u64 = 40;

fn configuration() -> String {
    // A server has room for four layers and more than a hundred usual requests.
    let engine = r#"{"slots":192,"kv-capacity":100000,"kv-token-bytes":200000,"link-mbps":400000.0,"stride":4,"models":[{"name":"m0","pace":1.0,"load-s":1.0,"warm-s":0.0}],"step_ms":1.0,"per_seq_ms":0.01,"context_per_k":0.01,"read_per_s":164000.0,"pairs_per_m":0.2,"chunk":512,"report_lag_ms":200.0,"loads_at_once":6,"delays":[],"usual":{"prompt":100,"answer":50},"layers":8,"layer-mb":1000.0,"act-bytes":29500,"pipe-mbps":19000.0,"kinds":[{"name":"small","size-mb":6000.0,"pace":1.0,"read-factor":1.0}]}"#;
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-draft","hostname":"{HOST}","path-prefix":"/draft/","route-kind":"streaming","timeout-ms":20000,"target-latency-ms":500,"priority":1,"service":"draft-lm","max-attempts":2,"anonymous":true,"sticky":true,"resumable":false,"gap-target-ms":250}}],"services":[{{"name":"draft-lm","health-path":"/healthz","max-conns":1128,"protocol":"h1","tls":false,"engine":{engine}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[]}}"#
    )
}

fn request(id: &str) -> String {
    format!(
        "POST /draft/a HTTP/1.1\r\nHost: {HOST}\r\nX-Kelpworks-Attempt-Id: {id}\r\nX-Kelpworks-Model: m0\r\nX-Kelpworks-Token-Count: 100,50\r\nX-Kelpworks-Prefix-Hash: 5c1e07a2:40,{id}:60\r\nX-Kelpworks-Deadline-Ms: 20000\r\nContent-Length: 2\r\n\r\n{{}}"
    )
}

#[derive(Clone, Copy, Default)]
struct Counts {
    served: u32,
    refused: u32,
    /// Began on a connection that was kept, and broke off.
    cut_on_kept: u32,
    other: u32,
}

fn main() -> ExitCode {
    let record = Record::new("review/6/record.txt");
    let dir = TempDir::new("6");
    let (store, store_server) = Store::start();
    let fleet = Fleet::default();
    let mut engines: Vec<Engine> = Vec::new();
    for zone in ZONES {
        for i in 0..SERVERS_PER_ZONE {
            let spec = EngineSpec {
                id: format!("i-{zone}-{i}"),
                service: "draft-lm".to_owned(),
                zone: zone.to_owned(),
                kind: "small".to_owned(),
                model_layers: LAYERS,
                layers: None,
                load: Duration::from_millis(500),
                events: EVENTS,
                event_interval: Duration::from_millis(40),
            };
            engines.push(Engine::start(spec, None, &store, &fleet, &record));
        }
    }
    store.put("config", "main", &configuration());
    let mut daemons = daemons(&dir.0, &ZONES, store_server.address);
    for daemon in &mut daemons {
        daemon.write_settings();
        daemon.start();
    }
    if !daemons.iter().all(|d| d.wait_ready(Duration::from_secs(10))) {
        record.say("a daemon did not become ready");
        return ExitCode::from(2);
    }
    let until = Instant::now() + Duration::from_secs(30);
    while engines.iter().any(|e| e.held().layers.is_none()) {
        if Instant::now() >= until {
            record.say("the servers were not given layers");
            return ExitCode::from(2);
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(2));
    for e in &engines {
        record.line(format!("server {} holds {:?}", e.spec.id, e.held().layers));
    }
    let start = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let front = daemons[0].values.front();
    let callers: Vec<_> = (0..CALLERS).map(|_| {
        let (record, counts, stop) = (Arc::clone(&record), Arc::clone(&counts), Arc::clone(&stop));
        thread::spawn(move || {
            let mut kept: Option<TcpStream> = None;
            while !stop.load(Ordering::Relaxed) {
                let is_kept = kept.is_some();
                let Some(stream) = kept.take().or_else(|| TcpStream::connect(front).ok()) else {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                };
                let id = attempt_id();
                let got = call_on(&stream, &request(&id), Duration::from_secs(20));
                let events = String::from_utf8_lossy(&got.body).matches("id: ").count();
                let on = if is_kept { "kept" } else { "new" };
                record.line(format!("stream {id} on a {on} connection: {}, {events} events", got.summary()));
                let is_whole = got.is_served() && events as u64 == EVENTS;
                let mut c = counts.lock().unwrap();
                match got.status {
                    200 if is_whole => c.served += 1,
                    200 if is_kept => c.cut_on_kept += 1,
                    503 => c.refused += 1,
                    _ => c.other += 1,
                }
                drop(c);
                let is_closing = got.header("connection").is_some_and(|v| v.contains("close"));
                if got.is_whole && !is_closing {
                    kept = Some(stream);
                }
                if !is_whole {
                    thread::sleep(Duration::from_millis(200));
                }
            }
        })
    }).collect();
    if has_trouble() {
        thread::sleep(DRAINS_AT);
        let in_first_zone = |e: &&mut Engine| e.spec.zone == ZONES[0];
        let ranges: Vec<_> = engines.iter().filter(|e| e.spec.zone == ZONES[0]).map(|e| e.held().layers).collect();
        let is_only = |e: &&mut Engine| ranges.iter().filter(|r| **r == e.held().layers).count() == 1;
        let Some(leaving) = engines.iter_mut().filter(in_first_zone).find(is_only) else {
            record.say(format!("no server of the zone holds its layers alone: {ranges:?}"));
            return ExitCode::from(2);
        };
        record.line(format!("server {} holding {:?} reports that it is draining", leaving.spec.id, leaving.held().layers));
        leaving.drain();
        thread::sleep(DRAIN);
        while leaving.held().running() > 0 {
            thread::sleep(Duration::from_millis(10));
        }
        record.line(format!("server {} leaves; all of its streams have ended", leaving.spec.id));
        leaving.leave();
    }
    thread::sleep(DAY.saturating_sub(start.elapsed()));
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    for daemon in &daemons {
        for line in daemon.log_lines_with("layers ordered") {
            record.line(format!("log of {}: {line}", daemon.values.name));
        }
    }
    let c = *counts.lock().unwrap();
    record.say(format!("streams: {} whole, {} refused, {} cut on kept connections, {} others", c.served, c.refused, c.cut_on_kept, c.other));
    match c.cut_on_kept > 3 {
        true => {
            record.say("BROKEN LOST: more than three requests from kept connections were passed on to sound servers, and their connections closed without a whole answer");
            ExitCode::from(1)
        }
        false => {
            record.say("held");
            ExitCode::SUCCESS
        }
    }
}
