//! Two models, each with servers of its own. The only server of the smaller model crashes and comes back empty.

#[path = "../standins-2/common.rs"]
mod common;

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
/// Length of the traffic.
const DAY: Duration = Duration::from_secs(60);
/// When the server crashes, and for how long it is down: `srv_crash` with count 1 for 4.5 s.
const CRASH_AT: Duration = Duration::from_secs(5);
const DOWN: Duration = Duration::from_millis(4_500);
/// Three heartbeats of 1.2 s, after which the store removes the entry of a silent server.
const ENTRY_LAPSE: Duration = Duration::from_millis(3_600);
/// Time between two requests of a kind.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

fn engine(id: &str, service: &str, zone: &str, layers: Option<(u16, u16)>) -> EngineSpec {
    EngineSpec {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: zone.to_owned(),
        kind: "big".to_owned(),
        model_layers: 8,
        layers,
        load: Duration::from_secs(1),
        events: 10,
        event_interval: Duration::from_millis(10),
    }
}

fn configuration() -> String {
    let engine = r#"{"slots":192,"kv-capacity":100000,"kv-token-bytes":100000,"link-mbps":400000.0,"stride":4,"models":[{"name":"m0","pace":1.0,"load-s":1.0,"warm-s":0.0}],"step_ms":1.0,"per_seq_ms":0.01,"context_per_k":0.01,"read_per_s":164000.0,"pairs_per_m":0.2,"chunk":512,"report_lag_ms":200.0,"loads_at_once":6,"delays":[],"usual":{"prompt":100,"answer":50},"layers":8,"layer-mb":1000.0,"act-bytes":29500,"pipe-mbps":19000.0,"kinds":[{"name":"big","size-mb":40000.0,"pace":1.0,"read-factor":1.0}]}"#;
    let service = |name: &str| format!(r#"{{"name":"{name}","health-path":"/healthz","max-conns":1128,"protocol":"h1","tls":false,"engine":{engine}}}"#);
    let route = |name: &str, path: &str, service: &str| {
        format!(r#"{{"name":"{name}","hostname":"{HOST}","path-prefix":"{path}","route-kind":"streaming","timeout-ms":20000,"target-latency-ms":500,"priority":1,"service":"{service}","max-attempts":2,"anonymous":true,"sticky":true,"resumable":true,"gap-target-ms":250}}"#)
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{},{}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[]}}"#,
        route("r-chat", "/chat/", "chat-lm"),
        route("r-notes", "/notes/", "notes-lm"),
        service("chat-lm"),
        service("notes-lm"),
    )
}

/// Requests of one kind, and how many of them were served.
#[derive(Clone, Copy, Default)]
struct Count {
    sent: u32,
    served: u32,
    /// Sent later than 12 s after the server was back.
    late_sent: u32,
    late_served: u32,
}

fn request(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Kelpworks-Attempt-Id: {id}\r\nX-Kelpworks-Model: m0\r\nX-Kelpworks-Token-Count: 100,50\r\nX-Kelpworks-Prefix-Hash: 5c1e07a2:40,{id}:60\r\nX-Kelpworks-Deadline-Ms: 20000\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}"
    )
}

fn main() -> ExitCode {
    let record = Record::new("review/8/record.txt");
    let dir = TempDir::new("8");
    let (store, store_server) = Store::start();
    let fleet = Fleet::default();
    let zones = ["hall-a", "hall-b", "hall-c"];
    let whole = Some((0, 8));
    // With CONTROL=1 both models have one server, so that the numbers of their servers don't differ.
    let chat_servers = if std::env::var_os("CONTROL").is_some() { 1 } else { 3 };
    let _chat: Vec<Engine> = zones.iter().take(chat_servers).enumerate().map(|(i, zone)| {
        Engine::start(engine(&format!("i-chat{i}"), "chat-lm", zone, whole), None, &store, &fleet, &record)
    }).collect();
    let mut notes = Engine::start(engine("i-notes0", "notes-lm", "hall-a", whole), None, &store, &fleet, &record);
    store.put("config", "main", &configuration());
    let mut daemons = daemons(&dir.0, &zones, store_server.address);
    for daemon in &mut daemons {
        daemon.write_settings();
        daemon.start();
    }
    if !daemons.iter().all(|d| d.wait_ready(Duration::from_secs(10))) {
        record.say("a daemon did not become ready");
        return ExitCode::from(2);
    }
    // One of them leads after the time in which daemons discover each other.
    thread::sleep(Duration::from_secs(4));
    let start = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<[Count; 2]>> = Arc::default();
    let fronts: Vec<_> = daemons.iter().map(|d| d.values.front()).collect();
    let callers: Vec<_> = ["/chat/a", "/notes/a"].into_iter().enumerate().map(|(kind, path)| {
        let (record, counts, fronts, stop) = (Arc::clone(&record), Arc::clone(&counts), fronts.clone(), Arc::clone(&stop));
        thread::spawn(move || {
            let mut n = 0;
            let mut running = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let (front, id) = (fronts[n % fronts.len()], attempt_id());
                let (record, counts) = (Arc::clone(&record), Arc::clone(&counts));
                running.push(thread::spawn(move || {
                    let is_late = start.elapsed() > CRASH_AT + DOWN + Duration::from_secs(12);
                    let got = call(front, &request(path, &id), Duration::from_secs(20));
                    record.line(format!("request {id} {path} at {front}: {}", got.summary()));
                    let mut counts = counts.lock().unwrap();
                    let count = &mut counts[kind];
                    count.sent += 1;
                    count.served += u32::from(got.is_served());
                    count.late_sent += u32::from(is_late);
                    count.late_served += u32::from(is_late && got.is_served());
                }));
                n += 1;
                thread::sleep(REQUEST_INTERVAL);
            }
            for request in running {
                let _ = request.join();
            }
        })
    }).collect();
    if has_trouble() {
        thread::sleep(CRASH_AT);
        record.line("server i-notes0 crashes");
        notes.crash();
        thread::sleep(ENTRY_LAPSE);
        store.delete("servers", "i-notes0");
        record.line("the store removes the entry of i-notes0");
        thread::sleep(DOWN - ENTRY_LAPSE);
        let address = notes.address;
        notes = Engine::start(engine("i-notes1", "notes-lm", "hall-a", None), Some(address), &store, &fleet, &record);
    }
    thread::sleep(DAY.saturating_sub(start.elapsed()));
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    record.say(format!("server of notes-lm at the end: {:?}", notes.held()));
    for daemon in &daemons {
        for line in daemon.log_lines_with("layers ordered").iter().chain(&daemon.log_lines_with("\"leadership\"")) {
            record.line(format!("log of {}: {line}", daemon.values.name));
        }
    }
    let [chat, notes_count] = *counts.lock().unwrap();
    for (name, c) in [("chat", chat), ("notes", notes_count)] {
        record.say(format!("{name}: {} of {} served; later than 12 s after the server was back {} of {}", c.served, c.sent, c.late_served, c.late_sent));
    }
    let share = |c: Count| f64::from(c.served) / f64::from(c.sent.max(1));
    let all = Count {
        sent: chat.sent + notes_count.sent,
        served: chat.served + notes_count.served,
        ..Count::default()
    };
    let is_starved = share(notes_count) < share(all) / 4.0;
    record.say(format!("share served: notes {:.3}, all {:.3}", share(notes_count), share(all)));
    match is_starved {
        true => {
            record.say("BROKEN Starved: a kind of request is served less than a quarter as often as all requests");
            ExitCode::from(1)
        }
        false => {
            record.say("held");
            ExitCode::SUCCESS
        }
    }
}
