//! Another writer's entries name a service that the configuration doesn't have, and the addresses of real servers.

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

const HOST: &str = "jobs.example";
/// Length of the traffic.
const DAY: Duration = Duration::from_secs(45);
/// When the other writer writes.
const WRITTEN_AT: Duration = Duration::from_secs(5);
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

fn configuration() -> String {
    let service = |name: &str| format!(r#"{{"name":"{name}","health-path":"/healthz","max-conns":100,"protocol":"h1","tls":false}}"#);
    let route = |name: &str, path: &str, service: &str| {
        format!(r#"{{"name":"{name}","hostname":"{HOST}","path-prefix":"{path}","route-kind":"idempotent","timeout-ms":4000,"target-latency-ms":300,"priority":1,"service":"{service}","max-attempts":2,"anonymous":true}}"#)
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
}

fn main() -> ExitCode {
    let record = Record::new("review/9/record.txt");
    let dir = TempDir::new("9");
    let (store, store_server) = Store::start();
    let zones = ["hall-a", "hall-b", "hall-c"];
    let work = Duration::from_millis(20);
    let start_service = |service: &str| -> Vec<HttpServer> {
        let start = |(i, zone): (usize, &&str)| plain(&format!("i-{service}-{i}"), service, zone, &store, &record, work, vec![b'x'; 800]);
        zones.iter().enumerate().map(start).collect()
    };
    let render = start_service("render-api");
    let _thumb = start_service("thumb-api");
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
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<[Count; 2]>> = Arc::default();
    let fronts: Vec<_> = daemons.iter().map(|d| d.values.front()).collect();
    let callers: Vec<_> = ["/status/1", "/thumb/1"].into_iter().enumerate().map(|(kind, path)| {
        let (record, counts, fronts, stop) = (Arc::clone(&record), Arc::clone(&counts), fronts.clone(), Arc::clone(&stop));
        thread::spawn(move || {
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) {
                let (front, id) = (fronts[n % fronts.len()], attempt_id());
                let request = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Kelpworks-Attempt-Id: {id}\r\nX-Kelpworks-Deadline-Ms: 4000\r\nConnection: close\r\n\r\n");
                let got = call(front, &request, Duration::from_secs(5));
                let body = if got.is_served() { String::new() } else { String::from_utf8_lossy(&got.body).into_owned() };
                record.line(format!("request {id} {path} at {front}: {} {body}", got.summary()));
                let mut counts = counts.lock().unwrap();
                counts[kind].sent += 1;
                counts[kind].served += u32::from(got.is_served());
                drop(counts);
                n += 1;
                thread::sleep(REQUEST_INTERVAL);
            }
        })
    }).collect();
    if has_trouble() {
        thread::sleep(WRITTEN_AT);
        for (i, (server, zone)) in render.iter().zip(zones).enumerate() {
            let name = format!("agent-{i}");
            let text = entry("host-inventory", server.address, zone, now_ms(), "");
            record.line(format!("another writer writes servers/{name}: {text}"));
            store.put("servers", &name, &text);
        }
    }
    thread::sleep(DAY.saturating_sub(start.elapsed()));
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    for daemon in &daemons {
        for line in daemon.log_lines_with("upstreams changed") {
            record.line(format!("log of {}: {line}", daemon.values.name));
        }
    }
    let [status, thumb] = *counts.lock().unwrap();
    let share = |c: Count| f64::from(c.served) / f64::from(c.sent.max(1));
    let all = Count {
        sent: status.sent + thumb.sent,
        served: status.served + thumb.served,
    };
    record.say(format!("status: {} of {} served; thumb: {} of {} served", status.served, status.sent, thumb.served, thumb.sent));
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
