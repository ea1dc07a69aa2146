//! Relaying daemons as processes, and requests to them.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::StreamExt;
use reqwest::Method;
use reqwest::RequestBuilder;
use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::Signal;
use rustix::process::kill_process;
use rustix::process::prlimit;

use super::HOST;
use super::KEY;
use super::WAIT_TIMEOUT;

/// The fleet's retry budget: the `repeats` table of the settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    pub(crate) window: &'static str,
    pub(crate) ratio: f64,
    pub(crate) slack: f64,
}

impl Default for RetryBudget {
    /// Uses a short window, since a daemon gets its share of `slack` only after its first window.
    fn default() -> RetryBudget {
        RetryBudget {
            window: "1 s",
            ratio: 0.2,
            slack: 200.0,
        }
    }
}

/// Whether daemons accept requests of others. Builds without hand-overs don't know the setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Handover {
    Offered,
    Off,
}

/// What a daemon's host has for it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Host {
    /// Memory, in megabytes (10^6 bytes).
    pub(crate) memory_mb: u64,
    /// File descriptors; the process gets no more.
    pub(crate) descriptors: u64,
}

/// Settings of a daemon that tests change.
#[derive(Clone, Copy, Debug)]
struct Options {
    budget: RetryBudget,
    handover: Handover,
    /// `None` leaves them out; builds without them refuse the setting.
    host: Option<Host>,
}

/// A running daemon; killed when dropped.
#[derive(Debug)]
pub(crate) struct Relay {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    operators: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) handover: SocketAddr,
    client: reqwest::Client,
}

/// The answer to a caller, read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) retry_after: Option<String>,
    pub(crate) body: String,
}

impl Answer {
    /// Returns the ids of a stream's events in the order of their arrival.
    pub(crate) fn ids(&self) -> Vec<u64> {
        let lines = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        lines.map(|id| id.parse().expect("a number")).collect()
    }
}

impl Relay {
    /// Starts a daemon that accepts no requests of others.
    pub(crate) fn start(
        test: &str,
        number: usize,
        store: SocketAddr,
        others: &[Relay],
        budget: &RetryBudget,
    ) -> Relay {
        Relay::start_as(test, number, store, others, budget, Handover::Off)
    }

    pub(crate) fn start_as(
        test: &str,
        number: usize,
        store: SocketAddr,
        others: &[Relay],
        budget: &RetryBudget,
        handover: Handover,
    ) -> Relay {
        let seeds: Vec<SocketAddr> = others.iter().map(|o| o.peers).collect();
        Relay::start_with_seeds(test, number, store, &seeds, budget, handover)
    }

    /// Starts a daemon whose settings name these seeds.
    pub(crate) fn start_with_seeds(
        test: &str,
        number: usize,
        store: SocketAddr,
        seeds: &[SocketAddr],
        budget: &RetryBudget,
        handover: Handover,
    ) -> Relay {
        let options = Options {
            budget: *budget,
            handover,
            host: None,
        };
        Relay::start_with(test, number, store, seeds, options)
    }

    /// Starts a daemon without others, whose settings name what its host has for it.
    pub(crate) fn start_on_host(test: &str, store: SocketAddr, host: Host) -> Relay {
        let options = Options {
            budget: RetryBudget::default(),
            handover: Handover::Off,
            host: Some(host),
        };
        let relay = Relay::start_with(test, 0, store, &[], options);
        relay.limit_descriptors(host.descriptors);
        relay
    }

    fn start_with(
        test: &str,
        number: usize,
        store: SocketAddr,
        seeds: &[SocketAddr],
        options: Options,
    ) -> Relay {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("relay-{test}-{number}"));
        std::fs::create_dir_all(&dir).expect("a directory");
        let [callers, readiness, operators, peers, handover_address] = unique_addresses();
        let Options { budget, host, .. } = options;
        let handover_setting = match options.handover {
            Handover::Offered => format!("handover = \"{handover_address}\"\n"),
            Handover::Off => String::new(),
        };
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let host = host.map_or(String::new(), |h| {
            let (memory_mb, descriptors) = (h.memory_mb, h.descriptors);
            format!("[host]\nmemory_mb = {memory_mb}\ndescriptors = {descriptors}\n")
        });
        let domain = ["hall-a", "hall-b"][number % 2];
        let settings = format!(
            "name = \"entry-{number}\"\nfailure_domain = \"{domain}\"\n[listen]\n\
             callers = \"{callers}\"\nreadiness = \"{readiness}\"\noperators = \"{operators}\"\n\
             peers = \"{peers}\"\n{handover_setting}[store]\naddress = \"{store}\"\n[peers]\nseeds = [{}]\n\
             [stop]\ngrace = \"8 s\"\n[repeats]\nwindow = \"{}\"\nratio = {:.2}\nslack = {:.2}\n{host}",
            seeds.join(", "),
            budget.window,
            budget.ratio,
            budget.slack
        );
        let file = dir.join("settings.toml");
        std::fs::write(&file, settings).expect("settings");
        let log = dir.join("log.jsonl");
        let out = File::create(&log).expect("a log file");
        let child = spawn(&file, out);
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .expect("a client");
        Relay {
            child,
            settings: file,
            log,
            callers,
            readiness,
            operators,
            peers,
            handover: handover_address,
            client,
        }
    }

    /// Limits the file descriptors of the process.
    fn limit_descriptors(&self, descriptors: u64) {
        let limit = Rlimit {
            current: Some(descriptors),
            maximum: Some(descriptors),
        };
        let pid = Some(Pid::from_child(&self.child));
        prlimit(pid, Resource::Nofile, limit).expect("limits of a child can be lowered");
    }

    /// Returns the highest resident set size of the process so far, in bytes.
    pub(crate) fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.pid());
        let status = std::fs::read_to_string(path).expect("the status of a child");
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kib = line.and_then(|l| l.trim().strip_suffix("kB"));
        let kib: u64 = kib.expect("a size").trim().parse().expect("a number");
        kib << 10
    }

    /// Returns the processor time of the process so far, in clock ticks of the operating system.
    pub(crate) fn processor_ticks(&self) -> u64 {
        let path = format!("/proc/{}/stat", self.pid());
        let stat = std::fs::read_to_string(path).expect("the state of a child");
        let (_, fields) = stat.rsplit_once(')').expect("the name of a child");
        // User time, then system time: the 14th and 15th fields of the line.
        let times = fields.split_whitespace().skip(11).take(2);
        times.map(|t| t.parse::<u64>().expect("a number")).sum()
    }

    /// Returns the number of file descriptors that the process has open.
    pub(crate) fn open_descriptors(&self) -> u64 {
        let path = format!("/proc/{}/fd", self.pid());
        let entries = std::fs::read_dir(path).expect("the descriptors of a child");
        entries.count() as u64
    }

    /// Starts the process again after it has exited.
    pub(crate) fn restart(&mut self) {
        let out = File::options().append(true).open(&self.log);
        self.child = spawn(&self.settings, out.expect("a log file"));
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("a child can be killed");
        self.child.wait().expect("a child can be waited for");
    }

    /// Returns the process id.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn has_exited(&mut self) -> bool {
        let status = self
            .child
            .try_wait()
            .expect("the status of a child can be read");
        status.is_some()
    }

    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("a child that was not waited for can be signalled");
    }

    /// Waits for the process to exit, and returns whether it exited with success.
    pub(crate) async fn wait_for_exit(&mut self) -> bool {
        let until = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the status of a child can be read")
            {
                return status.success();
            }
            assert!(
                tokio::time::Instant::now() < until,
                "the daemon did not exit"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the output of `kelpworks blame --json` for this daemon.
    pub(crate) fn blame(&self) -> serde_json::Value {
        let operators = self.operators.to_string();
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_kelpworks"));
        let output = command
            .args(["blame", "--json", "--operators", &operators])
            .output();
        let output = output.expect("it runs");
        assert!(output.status.success(), "{output:?}");
        serde_json::from_slice(&output.stdout).expect("JSON")
    }

    /// Returns a counter of its metrics page, by name and labels; 0 when the page lacks it.
    pub(crate) async fn counter(&self, name: &str) -> u64 {
        let url = format!("http://{}/metrics", self.operators);
        let page = self.client.get(url).send().await.expect("metrics");
        let page = page.text().await.expect("text");
        let value = page.lines().find_map(|l| l.strip_prefix(name));
        value.map_or(0, |v| v.trim().parse().expect("a number"))
    }

    /// Returns a request with the team's key and a deadline of 8 s.
    pub(crate) fn request(&self, method: Method, path: &str, id: &str) -> RequestBuilder {
        let req = self
            .client
            .request(method, format!("http://{}{path}", self.callers));
        let req = req
            .header("host", HOST)
            .header("x-kelpworks-attempt-id", id);
        req.bearer_auth(KEY)
            .header("x-kelpworks-deadline-ms", "8000")
    }

    /// Sends a request and reads the whole answer.
    pub(crate) async fn send(&self, req: RequestBuilder) -> reqwest::Result<Answer> {
        send(req).await
    }

    /// Requests a stream of `events` events and reads the whole answer.
    pub(crate) async fn stream(&self, id: &str, events: u64) -> reqwest::Result<Answer> {
        let req = self.stream_request(id, events);
        self.send(req).await
    }

    pub(crate) fn stream_request(&self, id: &str, events: u64) -> RequestBuilder {
        let req = self.request(Method::POST, "/stream/x", id);
        let req = req.header("x-kelpworks-token-count", format!("10,{events}"));
        req.body(format!("prompt of {id}"))
    }

    /// Starts a stream and waits for its first bytes; the returned future reads the rest.
    pub(crate) async fn start_stream(
        &self,
        id: &str,
        events: u64,
    ) -> impl Future<Output = String> + use<> {
        let res = self
            .stream_request(id, events)
            .timeout(WAIT_TIMEOUT)
            .send()
            .await;
        let mut chunks = res.expect("an answer").bytes_stream();
        let first = chunks.next().await.expect("a chunk").expect("bytes");
        async move {
            let mut body = first.to_vec();
            while let Some(chunk) = chunks.next().await {
                body.extend_from_slice(&chunk.expect("the rest of the stream"));
            }
            String::from_utf8(body).expect("text")
        }
    }
}

/// Sends a request and reads the whole answer.
pub(crate) async fn send(req: RequestBuilder) -> reqwest::Result<Answer> {
    let res = req.timeout(WAIT_TIMEOUT).send().await?;
    let retry_after = res.headers().get("retry-after").cloned();
    Ok(Answer {
        status: res.status().as_u16(),
        retry_after: retry_after.and_then(|v| v.to_str().ok().map(str::to_owned)),
        body: res.text().await?,
    })
}

fn spawn(settings: &Path, out: File) -> Child {
    Command::new(env!("CARGO_BIN_EXE_kelpworks"))
        .args(["relay", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stderr(out.try_clone().expect("a second handle"))
        .stdout(out)
        .spawn()
        .expect("the daemon starts")
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns addresses that no other test uses: each daemon of each test process has its own address
/// of the loopback range. A free port of 127.0.0.1 can be taken by another test before the daemon
/// listens on it.
fn unique_addresses() -> [SocketAddr; 5] {
    static DAEMONS: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = DAEMONS.fetch_add(1, Ordering::Relaxed);
    let ip = [127, 1 + high % 250, low, host];
    [8_080, 8_081, 8_082, 8_083, 8_084].map(|port| SocketAddr::from((ip, port)))
}
