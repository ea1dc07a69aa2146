//! The only server of a service goes down and up twice; one daemon stands still meanwhile.

#[path = "../standins-2/common.rs"]
mod common;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;

const HOST: &str = "jobs.example";
const DAEMONS: usize = 9;
/// Length of the traffic.
const DAY: Duration = Duration::from_secs(90);
/// When the server begins to go down and up: twice down for 700 ms, with 700 ms between.
const FLAP_AT: Duration = Duration::from_millis(4_350);
/// When one daemon is stopped, after that, and for how long.
const FROZEN_AT: u64 = 1_000;
const FROZEN_MS: u64 = 4_000;
/// Time after which the entry of a silent server is removed: three heartbeat intervals.
const REMOVED_AFTER: Duration = Duration::from_millis(1_500);
/// Time between two requests of a kind, all daemons together.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1_750);
/// The same from [`BUSY_AT`] on.
const BUSY_INTERVAL: Duration = Duration::from_millis(200);
const BUSY_AT: Duration = Duration::from_secs(20);

fn configuration() -> String {
    let service = |name: &str| format!(r#"{{"name":"{name}","health-path":"/healthz","max-conns":100,"protocol":"h1","tls":false}}"#);
    let route = |name: &str, path: &str, service: &str| {
        format!(r#"{{"name":"{name}","hostname":"{HOST}","path-prefix":"{path}","route-kind":"idempotent","timeout-ms":2000,"target-latency-ms":300,"priority":1,"service":"{service}","max-attempts":2,"anonymous":true}}"#)
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{},{}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[]}}"#,
        route("r-status", "/status/", "render-api"),
        route("r-thumb", "/thumb/", "thumb-api"),
        service("render-api"),
        service("thumb-api"),
    )
}

#[derive(Clone, Copy, Default)]
struct Count {
    sent: u32,
    served: u32,
    /// Those later than 10 s after the disruptions.
    late_sent: u32,
    late_served: u32,
}

fn start_server(id: &str, address: SocketAddr, record: &Arc<Record>) -> HttpServer {
    let own_id = id.to_owned();
    let log = Arc::clone(record);
    let handler: Handler = Arc::new(move |req, w| {
        if let Some(expected) = req.header("x-kelpworks-expect-instance")
            && expected != own_id
        {
            log.line(format!("server {own_id} answers 421: {expected} expected"));
            return answer(w, 421, &[("X-Kelpworks-Instance-Id", &own_id)], b"");
        }
        let attempt = req.header("x-kelpworks-attempt-id").unwrap_or_default();
        log.line(format!("server {own_id} runs {attempt}: {} {}", req.method, req.path));
        thread::sleep(Duration::from_millis(20));
        let stamp = format!("stamp-{own_id}-{attempt}");
        answer(w, 200, &[("X-Kelpworks-Attempt-Id", attempt), ("X-Kelpworks-Server-Stamp", &stamp)], &[b'x'; 800])
    });
    let server = HttpServer::start(address, handler);
    record.line(format!("server {id} starts at {}", server.address));
    server
}

fn main() -> ExitCode {
    let record = Record::new("review/9/record.txt");
    let dir = TempDir::new("9");
    let (store, store_server) = Store::start();
    let zones: Vec<&str> = ["hall-a", "hall-b", "hall-c"].into_iter().cycle().take(DAEMONS).collect();
    let work = Duration::from_millis(20);
    let _thumb: Vec<HttpServer> = (0..9).map(|i| plain(&format!("i-thumb-api-{i}"), "thumb-api", zones[i % zones.len()], &store, &record, work, vec![b'x'; 800])).collect();
    let mut server = start_server("i-render-api-0", "127.0.0.1:0".parse().unwrap(), &record);
    let address = server.address;
    store.put("servers", "i-render-api-0", &entry("render-api", address, "hall-a", now_ms(), ""));
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
    thread::sleep(Duration::from_secs(4));
    let start = Instant::now();
    let over = FLAP_AT + Duration::from_millis(FROZEN_AT + FROZEN_MS) + Duration::from_secs(10);
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<[Count; 2]>> = Arc::default();
    let fronts: Vec<_> = daemons.iter().map(|d| d.values.front()).collect();
    let mut callers = Vec::new();
    for (kind, path) in ["/status/1", "/thumb/1"].into_iter().enumerate() {
        let (record, counts, stop, fronts) = (Arc::clone(&record), Arc::clone(&counts), Arc::clone(&stop), fronts.clone());
        callers.push(thread::spawn(move || {
            let (mut n, mut next) = (0, Duration::ZERO);
            let mut calls = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                n += 1;
                next += if next < BUSY_AT { REQUEST_INTERVAL } else { BUSY_INTERVAL };
                thread::sleep(next.saturating_sub(start.elapsed()));
                let front = fronts[(n + 5) % fronts.len()];
                let (record, counts) = (Arc::clone(&record), Arc::clone(&counts));
                calls.push(thread::spawn(move || {
                    let (id, is_late) = (attempt_id(), start.elapsed() > over);
                    let request = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Kelpworks-Attempt-Id: {id}\r\nX-Kelpworks-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n");
                    let got = call(front, &request, Duration::from_secs(3));
                    let body = if got.is_served() { String::new() } else { String::from_utf8_lossy(&got.body).into_owned() };
                    record.line(format!("request {id} {path} at {front}: {} {body}", got.summary()));
                    let mut counts = counts.lock().unwrap();
                    let count = &mut counts[kind];
                    count.sent += 1;
                    count.served += u32::from(got.is_served());
                    count.late_sent += u32::from(is_late);
                    count.late_served += u32::from(is_late && got.is_served());
                }));
            }
            for call in calls {
                let _ = call.join();
            }
        }));
    }
    if has_trouble() {
        let at = |ms: u64| thread::sleep((FLAP_AT + Duration::from_millis(ms)).saturating_sub(start.elapsed()));
        let crash = |server: &mut HttpServer, n: u32| {
            server.stop();
            let old = format!("i-render-api-{n}");
            record.line(format!("server {old} crashes"));
            let store = Arc::clone(&store);
            thread::spawn(move || {
                thread::sleep(REMOVED_AFTER);
                store.delete("servers", &old);
            });
        };
        let freeze = |daemon: &Daemon, signal: &str| {
            record.line(format!("{} gets SIG{signal}", daemon.values.name));
            daemon.signal(signal);
        };
        let register = |n: u32| {
            let id = format!("i-render-api-{n}");
            store.put("servers", &id, &entry("render-api", address, "hall-a", now_ms(), ""));
            record.line(format!("server {id} registers"));
        };
        at(0);
        crash(&mut server, 0);
        at(700);
        server = start_server("i-render-api-1", address, &record);
        at(FROZEN_AT);
        freeze(&daemons[1], "STOP");
        at(1_100);
        // Within a heartbeat interval of its start.
        register(1);
        at(1_400);
        crash(&mut server, 1);
        at(2_100);
        server = start_server("i-render-api-2", address, &record);
        register(2);
        at(FROZEN_AT + FROZEN_MS);
        freeze(&daemons[1], "CONT");
    }
    thread::sleep(DAY.saturating_sub(start.elapsed()));
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    drop(server);
    for daemon in &daemons {
        for line in daemon.log_lines_with("upstreams changed") {
            record.line(format!("log of {}: {line}", daemon.values.name));
        }
    }
    let [status, thumb] = *counts.lock().unwrap();
    let share = |c: Count| f64::from(c.served) / f64::from(c.sent.max(1));
    record.say(format!("status: {} of {} served, from 10 s after the disruptions on {} of {}; thumb: {} of {}", status.served, status.sent, status.late_served, status.late_sent, thumb.served, thumb.sent));
    let all = Count {
        sent: status.sent + thumb.sent,
        served: status.served + thumb.served,
        ..Count::default()
    };
    record.say(format!("share served: status {:.3}, all {:.3}", share(status), share(all)));
    match share(status) < share(all) / 4.0 {
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
