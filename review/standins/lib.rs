//! Stand-ins for the review's scripts: the platform's store, servers, clients, and the daemons as processes.
//!
//! Only the standard library is used. Every address is a loopback address.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Host name of all routes.
pub const HOST: &str = "site.example";
/// API key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Name of the only tenant.
pub const TENANT: &str = "hule930";
/// Interval between two heartbeats of a server, as in the sheet's deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Whether the disruption takes place; `TROUBLE=0` runs the same without it.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

// ---------------------------------------------------------------- record

struct Record {
    file: Mutex<File>,
    started: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Starts `record.txt` at this path.
fn start_record(path: &str) {
    let file = File::create(path).unwrap_or_else(|e| could_not_run(&format!("{path}: {e}")));
    let _ = RECORD.set(Record {
        file: Mutex::new(file),
        started: Instant::now(),
    });
}

/// Writes a line to the record, with the seconds since its start.
pub fn note(line: impl AsRef<str>) {
    let Some(record) = RECORD.get() else { return };
    let at = record.started.elapsed().as_secs_f64();
    let mut file = record.file.lock().expect("no panic");
    let _ = writeln!(file, "{at:8.3} s  {}", line.as_ref());
}

/// Ends the case as one that could not run.
pub fn could_not_run(why: &str) -> ! {
    note(format!("could not run: {why}"));
    eprintln!("could not run: {why}");
    clean_up();
    std::process::exit(2);
}

/// Ends the case with its result.
pub fn finish(broken: bool, summary: &str) -> ! {
    let result = if broken { "RULE BROKEN" } else { "rule held" };
    note(format!("{result}: {summary}"));
    println!("{result}: {summary}");
    clean_up();
    std::process::exit(i32::from(broken));
}

/// Longest time of a case.
const MAX_RUN: Duration = Duration::from_secs(115);

/// Starts the record, and ends the case as one that could not run if it takes too long.
pub fn begin(number: u32) -> PathBuf {
    start_record(&format!("review/{number}/record.txt"));
    note(format!(
        "case {number}, TROUBLE={}",
        u8::from(has_trouble())
    ));
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        could_not_run("it took too long");
    });
    let print_panic = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        print_panic(panic);
        if thread::current().name() == Some("main") {
            could_not_run("the case itself has failed");
        }
    }));
    temporary_folder()
}

/// Ends all processes that were started, and removes the temporary folder.
fn clean_up() {
    kill_started();
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(temporary_path());
    }
}

// ---------------------------------------------------------------- HTTP

/// A request as received.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the first field of this name, in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    /// Returns the id of the client's attempt.
    pub fn id(&self) -> String {
        self.header("x-kelpworks-attempt-id")
            .unwrap_or("-")
            .to_owned()
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut fields = query.split('&').filter_map(|f| f.split_once('='));
        fields.find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

/// Reads bytes with a buffer.
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// Reads up to and with the first blank line; `None` at the end of the connection.
    fn head(&mut self) -> std::io::Result<Option<Vec<u8>>> {
        loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let rest = self.buf.split_off(at + 4);
                return Ok(Some(std::mem::replace(&mut self.buf, rest)));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn line(&mut self) -> std::io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let rest = self.buf.split_off(at + 2);
                let line = std::mem::replace(&mut self.buf, rest);
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exactly(&mut self, n: usize) -> std::io::Result<Vec<u8>> {
        while self.buf.len() < n {
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        let rest = self.buf.split_off(n);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    fn chunk(&mut self) -> std::io::Result<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| std::io::Error::from(ErrorKind::InvalidData))?;
        let data = self.exactly(size)?;
        self.line()?;
        Ok(data)
    }

    fn body(&mut self, headers: &[(String, String)]) -> std::io::Result<Vec<u8>> {
        let field = |name: &str| {
            headers
                .iter()
                .find(|(n, _)| n == name)
                .map(|(_, v)| v.clone())
        };
        if field("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let n = field("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        self.exactly(n)
    }

    /// Reads a request; `None` at the end of the connection.
    pub fn request(&mut self) -> std::io::Result<Option<Request>> {
        let Some(head) = self.head()? else {
            return Ok(None);
        };
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut first = lines.next().unwrap_or("").split(' ');
        let method = first.next().unwrap_or("").to_owned();
        let target = first.next().unwrap_or("").to_owned();
        let headers = fields(lines);
        let body = self.body(&headers)?;
        Ok(Some(Request {
            method,
            target,
            headers,
            body,
        }))
    }
}

fn fields<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    let fields = lines.filter_map(|l| l.split_once(':'));
    fields
        .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
        .collect()
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        out.extend(format!("{name}: {value}\r\n").bytes());
    }
    out.extend(b"\r\n");
    out.extend(body);
    stream.write_all(&out)
}

/// Listens on a free port of a loopback address and serves each connection on a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    listen_on("127.0.0.1:0", serve)
}

/// Like [`listen`], on this address.
pub fn listen_on(address: &str, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener =
        TcpListener::bind(address).unwrap_or_else(|e| could_not_run(&format!("listen: {e}")));
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Returns a free port of 127.0.0.1 that it has not returned before.
pub fn free_port() -> u16 {
    static RETURNED: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    let mut returned = RETURNED.lock().expect("no panic");
    loop {
        let listener = TcpListener::bind("127.0.0.1:0")
            .unwrap_or_else(|e| could_not_run(&format!("bind: {e}")));
        let port = listener.local_addr().expect("an address").port();
        if !returned.contains(&port) {
            returned.push(port);
            return port;
        }
    }
}

// ---------------------------------------------------------------- client

/// What a client saw of one request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// `None` if no head of an answer came.
    pub status: Option<u16>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer came whole.
    pub whole: bool,
    /// Why it is not.
    pub error: String,
}

impl Outcome {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    pub fn describe(&self) -> String {
        let stamp = self.header("x-kelpworks-server-stamp").unwrap_or("none");
        match (self.status, self.whole) {
            (Some(status), true) => format!(
                "{status}, stamp {stamp}, whole body of {} bytes: {}",
                self.body.len(),
                text(&self.body, 60)
            ),
            (Some(status), false) => {
                format!(
                    "{status}, stamp {stamp}, BROKEN OFF after {} bytes of the body ({})",
                    self.body.len(),
                    self.error
                )
            }
            (None, _) => format!("NO ANSWER ({})", self.error),
        }
    }
}

pub fn text(bytes: &[u8], max: usize) -> String {
    let text = String::from_utf8_lossy(&bytes[..bytes.len().min(max)]).into_owned();
    text.replace('\n', "\\n")
}

/// Writes a request of a client.
pub fn send(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Kelpworks-Attempt-Id: {id}\r\n\
         X-Kelpworks-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
    );
    for (name, value) in more {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut out = head.into_bytes();
    out.extend(body);
    stream.write_all(&out)
}

/// Reads the answer to a request; waits for `wait` at most.
pub fn receive(reader: &mut Reader, wait: Duration) -> Outcome {
    let _ = reader.stream.set_read_timeout(Some(wait));
    let mut outcome = Outcome::default();
    let head = match reader.head() {
        Ok(Some(head)) => String::from_utf8_lossy(&head).into_owned(),
        Ok(None) => {
            outcome.error = "connection closed".to_owned();
            return outcome;
        }
        Err(e) => {
            outcome.error = e.to_string();
            return outcome;
        }
    };
    let mut lines = head.split("\r\n");
    outcome.status = lines
        .next()
        .unwrap_or("")
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok());
    outcome.headers = fields(lines);
    if outcome
        .header("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"))
    {
        loop {
            match reader.chunk() {
                Ok(chunk) if chunk.is_empty() => {
                    outcome.whole = true;
                    return outcome;
                }
                Ok(chunk) => outcome.body.extend(chunk),
                Err(e) => {
                    outcome.error = e.to_string();
                    return outcome;
                }
            }
        }
    }
    match reader.body(&outcome.headers.clone()) {
        Ok(body) => {
            outcome.body = body;
            outcome.whole = true;
        }
        Err(e) => outcome.error = e.to_string(),
    }
    outcome
}

/// Sends one request on a new connection and reads its answer.
pub fn ask(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Outcome {
    let stream = match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        Ok(stream) => stream,
        Err(e) => {
            return Outcome {
                error: e.to_string(),
                ..Outcome::default()
            };
        }
    };
    let mut reader = Reader::new(stream);
    if let Err(e) = send(&mut reader.stream, method, path, id, deadline_ms, &[], body) {
        return Outcome {
            error: e.to_string(),
            ..Outcome::default()
        };
    }
    receive(&mut reader, Duration::from_millis(deadline_ms + 500))
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Stored {
    revision: u64,
    /// The object's spec, as JSON.
    spec: String,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// By kind and name. A name is the bytes between its quotes in JSON.
    objects: BTreeMap<(String, Vec<u8>), Stored>,
    /// Revision, kind, name, spec; no spec where the object was deleted.
    history: Vec<(u64, String, Vec<u8>, Option<String>)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

fn object(name: &[u8], revision: u64, spec: &str) -> Vec<u8> {
    let mut out = b"{\"metadata\":{\"name\":\"".to_vec();
    out.extend(name);
    out.extend(format!("\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}").bytes());
    out
}

/// Returns the JSON value of a key of the outermost object, or of an object in it.
pub fn json_field<'a>(json: &'a str, key: &str) -> Option<&'a str> {
    let at = json.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = json[at..].trim_start();
    let mut depth = 0;
    let mut in_string = false;
    let mut escaped = false;
    for (i, c) in rest.char_indices() {
        if in_string {
            match c {
                _ if escaped => escaped = false,
                '\\' => escaped = true,
                '"' => {
                    in_string = false;
                    if depth == 0 {
                        return Some(&rest[..=i]);
                    }
                }
                _ => {}
            }
            continue;
        }
        match c {
            '"' => in_string = true,
            '{' | '[' => depth += 1,
            '}' | ']' if depth == 0 => return Some(&rest[..i]),
            '}' | ']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(&rest[..=i]);
                }
            }
            ',' if depth == 0 => return Some(&rest[..i]),
            _ => {}
        }
    }
    Some(rest)
}

impl Store {
    pub fn start() -> Store {
        let state = StoreState {
            revision: 100,
            ..StoreState::default()
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let served = Arc::clone(&state);
        let address = listen(move |stream| {
            let _ = serve_store(&served, stream);
        });
        Store { state, address }
    }

    /// Writes an object; one that is the same already keeps its revision.
    pub fn put(&self, kind: &str, name: &[u8], spec: &str) {
        put(
            &mut self.state.0.lock().expect("no panic"),
            kind,
            name,
            spec,
        );
        self.state.1.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &[u8]) {
        let mut state = self.state.0.lock().expect("no panic");
        if state
            .objects
            .remove(&(kind.to_owned(), name.to_vec()))
            .is_some()
        {
            state.revision += 1;
            let change = (state.revision, kind.to_owned(), name.to_vec(), None);
            state.history.push(change);
        }
        drop(state);
        self.state.1.notify_all();
    }
}

/// Bounds of a page of a list: about 500 objects, or 1 MB; an object that is larger is alone.
const MAX_PAGE_OBJECTS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;
/// Number of pages of lists that the store has answered.
pub static PAGES: AtomicU32 = AtomicU32::new(0);

/// Returns the first page of these objects, and whether more follow.
fn page_of(objects: impl Iterator<Item = Vec<u8>>) -> (Vec<Vec<u8>>, bool) {
    let mut page = Vec::new();
    let mut bytes = 0;
    for object in objects {
        bytes += object.len();
        let is_full = page.len() >= MAX_PAGE_OBJECTS || bytes > MAX_PAGE_BYTES;
        if is_full && !page.is_empty() {
            return (page, true);
        }
        page.push(object);
    }
    (page, false)
}

/// Decodes a value of a query.
fn percent_decoded(value: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let mut rest = value.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        let hex = tail.get(..2).and_then(|h| std::str::from_utf8(h).ok());
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) if *first == b'%' => {
                out.push(byte);
                rest = &tail[2..];
            }
            _ => out.push(*first),
        }
    }
    out
}

fn put(state: &mut StoreState, kind: &str, name: &[u8], spec: &str) -> u64 {
    let key = (kind.to_owned(), name.to_vec());
    if let Some(old) = state.objects.get(&key)
        && old.spec == spec
    {
        return old.revision;
    }
    state.revision += 1;
    let revision = state.revision;
    state.objects.insert(
        key,
        Stored {
            revision,
            spec: spec.to_owned(),
        },
    );
    state.history.push((
        revision,
        kind.to_owned(),
        name.to_vec(),
        Some(spec.to_owned()),
    ));
    revision
}

fn serve_store(state: &(Mutex<StoreState>, Condvar), stream: TcpStream) -> std::io::Result<()> {
    let mut reader = Reader::new(stream);
    while let Some(req) = reader.request()? {
        let (status, body) = answer_store(state, &req);
        let json = [("Content-Type", "application/json"), ("Store-Era", "0")];
        answer(&mut reader.stream, status, &json, &body)?;
    }
    Ok(())
}

fn answer_store(shared: &(Mutex<StoreState>, Condvar), req: &Request) -> (u16, Vec<u8>) {
    let path = req.target.split('?').next().unwrap_or("");
    let path = path.trim_start_matches("/objects/");
    let (kind, name) = path.split_once('/').unwrap_or((path, ""));
    let mut state = shared.0.lock().expect("no panic");
    match (req.method.as_str(), name) {
        ("GET", "") => {
            if let Some(from) = req.query("watch").and_then(|v| v.parse::<u64>().ok()) {
                if from > state.revision {
                    return (410, b"{}".to_vec());
                }
                let wait = req
                    .query("wait-ms")
                    .and_then(|v| v.parse().ok())
                    .unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let newer = state
                        .history
                        .iter()
                        .filter(|(r, k, _, _)| *r > from && k == kind);
                    let events: Vec<Vec<u8>> = newer
                        .map(|(r, _, n, spec)| {
                            let mut out = format!("{{\"deleted\":{},\"object\":", spec.is_none())
                                .into_bytes();
                            out.extend(object(n, *r, spec.as_deref().unwrap_or("null")));
                            out.push(b'}');
                            out
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let mut out = b"{\"events\":[".to_vec();
                        out.extend(events.join(&b","[..]));
                        out.extend(format!("],\"current-rev\":{}}}", state.revision).bytes());
                        return (200, out);
                    }
                    state = shared.1.wait_timeout(state, left).expect("no panic").0;
                }
            }
            let after = req.query("after").map(percent_decoded).unwrap_or_default();
            let of_kind = state.objects.iter();
            let of_kind = of_kind.filter(|((k, n), _)| k == kind && *n > after);
            let objects = of_kind.map(|((_, n), o)| object(n, o.revision, &o.spec));
            let (page, truncated) = page_of(objects);
            PAGES.fetch_add(1, Ordering::Relaxed);
            let mut out = b"{\"entries\":[".to_vec();
            out.extend(page.join(&b","[..]));
            let rest = format!(
                "],\"truncated\":{truncated},\"current-rev\":{}}}",
                state.revision
            );
            out.extend(rest.bytes());
            (200, out)
        }
        ("GET", name) => match state
            .objects
            .get(&(kind.to_owned(), name.as_bytes().to_vec()))
        {
            Some(o) => (200, object(name.as_bytes(), o.revision, &o.spec)),
            None => (404, b"{}".to_vec()),
        },
        (method @ ("POST" | "PUT"), name) => {
            let body = String::from_utf8_lossy(&req.body).into_owned();
            let named = json_field(&body, "name")
                .unwrap_or("\"\"")
                .trim_matches('"')
                .to_owned();
            let name = if name.is_empty() {
                named
            } else {
                name.to_owned()
            };
            let spec = json_field(&body, "spec").unwrap_or("null").to_owned();
            let condition =
                json_field(&body, "revision").and_then(|r| r.trim().parse::<u64>().ok());
            let key = (kind.to_owned(), name.as_bytes().to_vec());
            let old = state.objects.get(&key).cloned();
            let conflicts = match (&old, method) {
                (None, "PUT") => return (404, b"{}".to_vec()),
                (Some(_), "POST") => true,
                (Some(old), _) => condition.is_some_and(|c| c != old.revision),
                (None, _) => false,
            };
            if conflicts {
                let old = old.expect("an object");
                return (409, object(name.as_bytes(), old.revision, &old.spec));
            }
            let revision = put(&mut state, kind, name.as_bytes(), &spec);
            drop(state);
            shared.1.notify_all();
            (200, object(name.as_bytes(), revision, &spec))
        }
        ("DELETE", name) => {
            let key = (kind.to_owned(), name.as_bytes().to_vec());
            let gone = state.objects.remove(&key);
            (if gone.is_some() { 200 } else { 404 }, b"{}".to_vec())
        }
        _ => (400, b"{}".to_vec()),
    }
}

// ---------------------------------------------------------------- configuration

/// A route of the configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub max_attempts: u32,
    pub resumable: bool,
}

/// Returns a configuration of plain services.
pub fn configuration(version: u64, routes: &[Route<'_>], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                "{{\"name\":\"{}\",\"hostname\":\"{HOST}\",\"path-prefix\":\"{}\",\"route-kind\":\"{}\",\"timeout-ms\":{},\
                 \"target-latency-ms\":500,\"priority\":1,\"service\":\"{}\",\"max-attempts\":{},\"anonymous\":false,\
                 \"sticky\":false,\"resumable\":{},\"gap-target-ms\":250}}",
                r.name, r.prefix, r.kind, r.timeout_ms, r.service, r.max_attempts, r.resumable
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|s| format!("{{\"name\":\"{s}\",\"health-path\":\"/healthz\",\"max-conns\":100,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":4194304,\"header-timeout-ms\":5000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api-keys\":[\"{KEY}\"]}}]}}",
        routes.join(","),
        services.join(",")
    )
}

// ---------------------------------------------------------------- servers

/// A server's registration, which its heartbeats keep up to date.
#[derive(Clone)]
pub struct Registration {
    pub id: String,
    pub service: String,
    /// Address in the entry: the server's own, or that of a proxy in front of it.
    pub address: SocketAddr,
    state: Arc<Mutex<(&'static str, u64)>>,
    born: u128,
    store: Store,
}

impl Registration {
    /// Registers a server and keeps its heartbeats going.
    pub fn start(store: &Store, id: &str, service: &str, address: SocketAddr) -> Registration {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis());
        let registration = Registration {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            state: Arc::new(Mutex::new(("ready", 0))),
            born,
            store: store.clone(),
        };
        registration.beat();
        let beating = registration.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        registration
    }

    /// Reports another state, with a heartbeat of its own.
    pub fn set_state(&self, state: &'static str) {
        self.state.lock().expect("no panic").0 = state;
        self.beat();
    }

    fn beat(&self) {
        let mut state = self.state.lock().expect("no panic");
        state.1 += 1;
        let spec = entry(
            &self.service,
            self.address,
            state.0,
            state.1,
            Some(self.born),
        );
        self.store.put("servers", self.id.as_bytes(), &spec);
    }
}

/// Returns the spec of a server's entry.
pub fn entry(
    service: &str,
    address: SocketAddr,
    state: &str,
    seq: u64,
    born: Option<u128>,
) -> String {
    let born = born.map_or(String::new(), |b| format!(",\"born\":{b}"));
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"alm-hall-a\",\"version\":\"v1\",\"slots\":6,\
         \"state\":\"{state}\",\"cold-left-ms\":0,\"seq\":{seq}{born}}}"
    )
}

/// Serves a connection as a sound server of plain requests does: it refuses a request that names another instance,
/// answers health checks, and hands each other request to `run`, which returns the status and body.
pub fn serve_plain(
    id: &str,
    stream: TcpStream,
    run: &dyn Fn(&Request) -> (u16, Vec<u8>),
) -> std::io::Result<()> {
    let mut reader = Reader::new(stream);
    while let Some(req) = reader.request()? {
        if req.target == "/healthz" {
            answer(
                &mut reader.stream,
                200,
                &[("X-Kelpworks-Instance-Id", id)],
                b"",
            )?;
            continue;
        }
        let attempt = req.id();
        let expected = req.header("x-kelpworks-expect-instance");
        if expected.is_some_and(|e| e != id) {
            note(format!(
                "server {id} refuses {attempt} with 421: it is meant for {}",
                expected.unwrap_or("-")
            ));
            let headers = [
                ("X-Kelpworks-Instance-Id", id),
                ("X-Kelpworks-Attempt-Id", &attempt),
            ];
            answer(&mut reader.stream, 421, &headers, b"")?;
            continue;
        }
        let (status, body) = run(&req);
        let stamp = format!("stamp-of-{id}");
        let headers = [
            ("X-Kelpworks-Attempt-Id", attempt.as_str()),
            ("X-Kelpworks-Server-Stamp", stamp.as_str()),
        ];
        answer(&mut reader.stream, status, &headers, &body)?;
    }
    Ok(())
}

/// One in this many answers of the faulty servers is followed by additional bytes: a share of 0.03.
pub const SPOILED_ONE_IN: u32 = 34;
/// Time for which answers are spoiled.
pub const SPOILING: Duration = Duration::from_secs(5);

/// What the servers of a case have in common of which some are faulty.
pub struct Faulty {
    /// When the answers begin to be spoiled; unset before.
    pub since: OnceLock<Instant>,
    answers: AtomicU32,
    spoiled: AtomicU32,
    /// Servers that ran each attempt, by its id.
    pub runs: Mutex<BTreeMap<String, Vec<&'static str>>>,
    /// Returns the additional bytes that follow a complete answer with this stamp and body.
    bytes: fn(&str, &str) -> Vec<u8>,
}

impl Faulty {
    pub fn new(bytes: fn(&str, &str) -> Vec<u8>) -> Arc<Faulty> {
        Arc::new(Faulty {
            since: OnceLock::new(),
            answers: AtomicU32::new(0),
            spoiled: AtomicU32::new(0),
            runs: Mutex::default(),
            bytes,
        })
    }

    /// Counts an answer of a faulty server; returns whether it is spoiled.
    fn spoils(&self) -> bool {
        let is_time = self
            .since
            .get()
            .is_some_and(|since| since.elapsed() < SPOILING);
        if !is_time {
            return false;
        }
        let is_spoiled =
            self.answers.fetch_add(1, Ordering::Relaxed) % SPOILED_ONE_IN == SPOILED_ONE_IN - 1;
        if is_spoiled {
            self.spoiled.fetch_add(1, Ordering::Relaxed);
        }
        is_spoiled && has_trouble()
    }

    /// Returns how many answers the faulty servers gave meanwhile, and how many of them were spoiled.
    pub fn dose(&self) -> String {
        let (answers, spoiled) = (
            self.answers.load(Ordering::Relaxed),
            self.spoiled.load(Ordering::Relaxed),
        );
        format!("{spoiled} of {answers} answers of the faulty servers spoiled")
    }
}

/// Serves a connection as a sound server does, but for the additional bytes after a spoiled answer of a server that
/// `is_faulty`. They are late: they come when the next request on the connection has been read.
pub fn serve_faulty(
    id: &'static str,
    stream: TcpStream,
    is_faulty: bool,
    faulty: &Faulty,
) -> std::io::Result<()> {
    let mut reader = Reader::new(stream);
    let mut additional: Option<(String, Vec<u8>)> = None;
    while let Some(req) = reader.request()? {
        let attempt = req.id();
        if req
            .header("x-kelpworks-expect-instance")
            .is_some_and(|e| e != id)
        {
            answer(
                &mut reader.stream,
                421,
                &[
                    ("X-Kelpworks-Instance-Id", id),
                    ("X-Kelpworks-Attempt-Id", &attempt),
                ],
                b"",
            )?;
            continue;
        }
        note(format!("server {id} runs {attempt}"));
        faulty
            .runs
            .lock()
            .expect("no panic")
            .entry(attempt.clone())
            .or_default()
            .push(id);
        if let Some((of, bytes)) = additional.take() {
            note(format!(
                "server {id} sends {} additional bytes after its answer to {of}, late: {attempt} waits for its own",
                bytes.len()
            ));
            reader.stream.write_all(&bytes)?;
        }
        thread::sleep(Duration::from_millis(60));
        let body = format!("result of {attempt}");
        let stamp = format!("stamp-of-{id}");
        let headers = [
            ("X-Kelpworks-Attempt-Id", attempt.as_str()),
            ("X-Kelpworks-Server-Stamp", stamp.as_str()),
        ];
        answer(&mut reader.stream, 200, &headers, body.as_bytes())?;
        if is_faulty && faulty.spoils() {
            additional = Some((attempt, (faulty.bytes)(&stamp, &body)));
        }
    }
    Ok(())
}

/// Ids of the servers of these cases, and whether they are faulty: a share of 0.6.
const SERVERS: [(&str, bool); 5] = [
    ("i-02d9e6b4", true),
    ("i-7f3a91c2", true),
    ("i-c5f37208", true),
    ("i-4b8e03d1", false),
    ("i-d6abcb5c", false),
];
/// Requests of these cases, and the pause between two of them.
const REQUESTS: usize = 480;
const PAUSE: Duration = Duration::from_millis(16);

/// Sends requests that may run once to two daemons, before five servers of which three are faulty for some seconds.
/// Returns what the clients got, by the attempt's id.
pub fn run_before_faulty_servers(
    dir: &std::path::Path,
    faulty: &Arc<Faulty>,
) -> Vec<(String, Outcome)> {
    let store = Store::start();
    let route = Route {
        name: "r-jobs",
        prefix: "/jobs/",
        kind: "non_idempotent",
        service: "render-api",
        timeout_ms: 2_000,
        max_attempts: 1,
        resumable: false,
    };
    store.put(
        "config",
        b"main",
        &configuration(7, &[route], &["render-api"]),
    );
    for (id, is_faulty) in SERVERS {
        let faulty = Arc::clone(faulty);
        let address = listen(move |stream| {
            let _ = serve_faulty(id, stream, is_faulty, &faulty);
        });
        Registration::start(&store, id, "render-api", address);
    }
    let daemons = start_two_daemons(dir, &store);
    let callers = [daemons[0].callers, daemons[1].callers];
    let mut asking = Vec::new();
    for n in 0..REQUESTS {
        if n == 60 {
            let _ = faulty.since.set(Instant::now());
            note("three of the five servers are faulty from now on, for 5 s");
        }
        asking.push(thread::spawn(move || {
            let id = format!("attempt-{n:03}");
            note(format!("client sends {id} to edge-{}", n % 2));
            let outcome = ask(callers[n % 2], "POST", "/jobs/2f", &id, 4_000, b"job");
            note(format!("client gets for {id}: {}", outcome.describe()));
            (id, outcome)
        }));
        thread::sleep(PAUSE);
    }
    let outcomes = asking.into_iter().filter_map(|t| t.join().ok()).collect();
    thread::sleep(Duration::from_millis(500));
    note(faulty.dose());
    outcomes
}

// ---------------------------------------------------------------- daemons

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Has a process that the case started killed at the end of the case.
pub fn own_process(pid: u32) {
    STARTED.lock().expect("no panic").push(pid);
}

/// Kills the processes that the case has started and that still run.
pub fn kill_started() {
    for pid in STARTED.lock().map(|pids| pids.clone()).unwrap_or_default() {
        signal(pid, "KILL");
    }
}

/// Sends a signal to a process that this one started.
pub fn signal(pid: u32, name: &str) {
    let command = format!("kill -{name} {pid}");
    let _ = Command::new("sh")
        .args(["-c", &command])
        .stderr(Stdio::null())
        .status();
}

/// A daemon as a process.
pub struct Daemon {
    pub name: String,
    child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
}

/// Addresses of a daemon that is to be started.
#[derive(Clone, Copy)]
pub struct Ports {
    pub callers: u16,
    pub readiness: u16,
    pub operators: u16,
    pub peers: u16,
    pub handover: u16,
}

impl Ports {
    pub fn free() -> Ports {
        Ports {
            callers: free_port(),
            readiness: free_port(),
            operators: free_port(),
            peers: free_port(),
            handover: free_port(),
        }
    }
}

/// Bounds of the retry budget, as in the sheet's deployment.
pub const REPEATS: &str = "window = \"10 s\"\nratio = 0.2\nslack = 198\n";

impl Daemon {
    /// Starts a daemon with the command of the deploy file and settings as the platform renders them.
    pub fn start(
        dir: &std::path::Path,
        name: &str,
        zone: &str,
        ports: Ports,
        store: SocketAddr,
        seeds: &[u16],
        repeats: &str,
    ) -> Daemon {
        let seeds: Vec<String> = seeds.iter().map(|p| format!("\"127.0.0.1:{p}\"")).collect();
        let settings = format!(
            "name = \"{name}\"\nfailure_domain = \"{zone}\"\n\n[listen]\ncallers = \"127.0.0.1:{}\"\nreadiness = \"127.0.0.1:{}\"\n\
             operators = \"127.0.0.1:{}\"\npeers = \"127.0.0.1:{}\"\nhandover = \"127.0.0.1:{}\"\n\n[store]\naddress = \"{store}\"\n\n\
             [peers]\nseeds = [{}]\n\n[stop]\ngrace = \"8 s\"\n\n[repeats]\n{repeats}",
            ports.callers,
            ports.readiness,
            ports.operators,
            ports.peers,
            ports.handover,
            seeds.join(",")
        );
        let file = dir.join(format!("{name}.toml"));
        std::fs::write(&file, settings)
            .unwrap_or_else(|e| could_not_run(&format!("settings: {e}")));
        let log = File::create(dir.join(format!("{name}.log")))
            .unwrap_or_else(|e| could_not_run(&format!("log: {e}")));
        let child = Command::new("target/release/kelpworks")
            .args(["relay", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a second handle"))
            .stdout(log)
            .spawn();
        let child =
            child.unwrap_or_else(|e| could_not_run(&format!("target/release/kelpworks: {e}")));
        STARTED.lock().expect("no panic").push(child.id());
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Daemon {
            name: name.to_owned(),
            child,
            callers: address(ports.callers),
            readiness: address(ports.readiness),
            peers: address(ports.peers),
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the exit status once the process has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.readiness, Duration::from_millis(200))
        else {
            return false;
        };
        let mut reader = Reader::new(stream);
        let _ = reader
            .stream
            .write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        receive(&mut reader, Duration::from_millis(500)).status == Some(200)
    }

    /// Waits until the daemon is ready.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > until {
                could_not_run(&format!("{} is not ready", self.name));
            }
            thread::sleep(Duration::from_millis(100));
        }
        note(format!("{} is ready", self.name));
    }
}

/// Starts two daemons in different zones, and waits until they are ready and know each other.
pub fn start_two_daemons(dir: &std::path::Path, store: &Store) -> [Daemon; 2] {
    let ports = [Ports::free(), Ports::free()];
    let seeds = [ports[0].peers, ports[1].peers];
    let zones = ["alm-hall-a", "alm-hall-b"];
    let daemons = [0, 1].map(|i| {
        Daemon::start(
            dir,
            &format!("edge-{i}"),
            zones[i],
            ports[i],
            store.address,
            &seeds,
            REPEATS,
        )
    });
    daemons.iter().for_each(Daemon::wait_until_ready);
    thread::sleep(Duration::from_secs(4));
    daemons
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Creates a temporary folder.
fn temporary_folder() -> PathBuf {
    let dir = temporary_path();
    std::fs::create_dir_all(&dir)
        .unwrap_or_else(|e| could_not_run(&format!("temporary folder: {e}")));
    dir
}

fn temporary_path() -> PathBuf {
    std::env::temp_dir().join(format!("kelpworks-review-{}", std::process::id()))
}
