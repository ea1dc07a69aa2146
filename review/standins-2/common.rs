//! Stand-ins for the store, model servers, plain servers and callers, and a harness that starts the
//! project's daemons as separate processes. Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
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
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

// ---------------------------------------------------------------- record

/// Writes `record.txt` with times since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Arc<Record> {
        let file = File::create(path).expect("record.txt");
        Arc::new(Record {
            start: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let t = self.start.elapsed().as_secs_f64();
        let line = format!("{t:8.3} {}\n", text.as_ref());
        self.file.lock().unwrap().write_all(line.as_bytes()).unwrap();
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

// ---------------------------------------------------------------- JSON

/// A JSON value; objects keep the order of their members.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Obj(members) => members.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Json::Num(n) => n.parse().ok(),
            _ => None,
        }
    }

    pub fn as_str(&self) -> Option<&str> {
        match self {
            Json::Str(s) => Some(s),
            _ => None,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Json::Null => "null".to_owned(),
            Json::Bool(b) => b.to_string(),
            Json::Num(n) => n.clone(),
            Json::Str(s) => quote(s),
            Json::Arr(items) => {
                let items: Vec<String> = items.iter().map(Json::text).collect();
                format!("[{}]", items.join(","))
            }
            Json::Obj(members) => {
                let members = members.iter().map(|(k, v)| format!("{}:{}", quote(k), v.text()));
                format!("{{{}}}", members.collect::<Vec<String>>().join(","))
            }
        }
    }
}

pub fn quote(s: &str) -> String {
    let mut out = String::from("\"");
    for c in s.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

pub fn parse_json(text: &str) -> Option<Json> {
    let bytes = text.as_bytes();
    let mut at = 0;
    let value = parse_value(bytes, &mut at)?;
    Some(value)
}

fn skip(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut members = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(members));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Str(key) = parse_value(b, at)? else {
                            return None;
                        };
                        skip(b, at);
                        if *b.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        members.push((key, parse_value(b, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(b, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                match *b.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Str(String::from_utf8_lossy(&out).into_owned()));
                    }
                    b'\\' => {
                        *at += 1;
                        let c = *b.get(*at)?;
                        *at += 1;
                        match c {
                            b'n' => out.push(b'\n'),
                            b't' => out.push(b'\t'),
                            b'r' => out.push(b'\r'),
                            b'b' => out.push(8),
                            b'f' => out.push(12),
                            b'u' => {
                                let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                                *at += 4;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                let c = char::from_u32(code).unwrap_or('?');
                                out.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
                            }
                            c => out.push(c),
                        }
                    }
                    c => {
                        out.push(c);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let from = *at;
            while *at < b.len() && !b",]} \t\r\n".contains(&b[*at]) {
                *at += 1;
            }
            Some(match std::str::from_utf8(&b[from..*at]).ok()? {
                "null" => Json::Null,
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                n => Json::Num(n.to_owned()),
            })
        }
    }
}

// ---------------------------------------------------------------- HTTP

/// A request that a stand-in has read whole.
#[derive(Clone, Debug)]
pub struct Req {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn param(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(k, _)| *k == name).map(|(_, v)| v)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(k, _)| k.eq_ignore_ascii_case(name));
    found.next().map(|(_, v)| v.as_str())
}

fn read_head(r: &mut impl BufRead) -> std::io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if r.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if r.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((k, v)) = line.split_once(':') {
            headers.push((k.trim().to_owned(), v.trim().to_owned()));
        }
    }
}

fn read_chunk(r: &mut impl BufRead) -> std::io::Result<Vec<u8>> {
    let mut line = String::new();
    r.read_line(&mut line)?;
    let len = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::UnexpectedEof)?;
    let mut data = vec![0; len + 2];
    r.read_exact(&mut data)?;
    data.truncate(len);
    Ok(data)
}

fn read_body(r: &mut impl BufRead, headers: &[(String, String)]) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(len) = find(headers, "content-length") {
        let len: usize = len.parse().map_err(|_| ErrorKind::InvalidData)?;
        body.resize(len, 0);
        r.read_exact(&mut body)?;
    } else if find(headers, "transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(r)?;
            if chunk.is_empty() {
                break;
            }
            body.extend_from_slice(&chunk);
        }
    }
    Ok(body)
}

/// Handles a request on its connection; false closes it.
pub type Handler = Arc<dyn Fn(&Req, &mut TcpStream) -> bool + Send + Sync>;

/// A listener with a thread for each connection. Stopping it closes the listener and all connections.
pub struct HttpServer {
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl HttpServer {
    pub fn start(address: SocketAddr, handler: Handler) -> HttpServer {
        let listener = bind(address);
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (stopping, open) = (Arc::clone(&stop), Arc::clone(&connections));
        let accepting = thread::spawn(move || {
            while !stopping.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                stream.set_nodelay(true).unwrap();
                open.lock().unwrap().push(stream.try_clone().unwrap());
                let handler = Arc::clone(&handler);
                thread::spawn(move || serve(stream, &handler));
            }
        });
        HttpServer {
            address,
            stop,
            connections,
            accepting: Some(accepting),
        }
    }

    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("can't listen on {address}");
}

fn serve(stream: TcpStream, handler: &Handler) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Ok(Some((line, headers))) = read_head(&mut reader) {
        let Ok(body) = read_body(&mut reader, &headers) else {
            return;
        };
        let mut words = line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let req = Req {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            headers,
            body,
        };
        if !handler(&req, &mut writer) {
            let _ = writer.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

/// Writes an answer with a length; returns whether that worked.
pub fn answer(w: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (k, v) in headers {
        head.push_str(&format!("{k}: {v}\r\n"));
    }
    head.push_str("\r\n");
    w.write_all(head.as_bytes()).and_then(|()| w.write_all(body)).is_ok()
}

/// An answer that a caller got.
#[derive(Clone, Debug, Default)]
pub struct Got {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
    /// Why there is no whole answer.
    pub error: Option<String>,
}

impl Got {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Whether it is a success with a server's signature and a whole body.
    pub fn is_served(&self) -> bool {
        let is_success = (200..300).contains(&self.status);
        is_success && self.is_whole && self.header("x-kelpworks-server-stamp").is_some()
    }

    pub fn summary(&self) -> String {
        match &self.error {
            Some(e) => format!("status {} broken off after {} bytes: {e}", self.status, self.body.len()),
            None => format!("status {} {} bytes", self.status, self.body.len()),
        }
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> Got {
    match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        Ok(stream) => call_on(&stream, request, timeout),
        Err(e) => Got {
            error: Some(format!("no connection: {e}")),
            ..Got::default()
        },
    }
}

/// Sends a request on an open connection and reads the answer.
pub fn call_on(stream: &TcpStream, request: &str, timeout: Duration) -> Got {
    let mut got = Got::default();
    if let Err(e) = exchange(stream, request, timeout, &mut got) {
        got.error = Some(e.to_string());
    }
    got
}

fn exchange(stream: &TcpStream, request: &str, timeout: Duration, got: &mut Got) -> std::io::Result<()> {
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let mut writer = stream;
    writer.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some((line, headers)) = read_head(&mut reader)? else {
        return Err(ErrorKind::UnexpectedEof.into());
    };
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
    got.status = status.unwrap_or(0);
    got.headers = headers;
    if find(&got.headers, "transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            got.body.extend_from_slice(&chunk);
        }
    } else {
        let len = find(&got.headers, "content-length").and_then(|l| l.parse().ok());
        let len: usize = len.unwrap_or(0);
        let mut buf = [0; 16 << 10];
        while got.body.len() < len {
            let n = reader.read(&mut buf)?;
            if n == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            got.body.extend_from_slice(&buf[..n]);
        }
    }
    got.is_whole = true;
    Ok(())
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of a client attempt.
pub fn attempt_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000u64 + NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed))
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, object, whether it was deleted.
    log: Vec<(u64, String, String, bool)>,
    /// Watches from an earlier revision get 410, as the history before it is gone.
    compacted: u64,
    /// Whether watches hear nothing.
    is_muted: bool,
    /// Number of times that waiting watches were cut off.
    cuts: u64,
}

/// Bytes of a page of a list at most.
const PAGE_BYTES: usize = 1 << 20;

/// The platform's store.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

fn object_text(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{revision},\"created\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}",
        quote(name)
    )
}

impl Store {
    pub fn start() -> (Arc<Store>, HttpServer) {
        let store = Arc::new(Store {
            state: Mutex::new(StoreState {
                revision: 100,
                ..StoreState::default()
            }),
            changed: Condvar::new(),
        });
        let handling = Arc::clone(&store);
        let handler: Handler = Arc::new(move |req, w| handling.handle(req, w));
        let server = HttpServer::start("127.0.0.1:0".parse().unwrap(), handler);
        (store, server)
    }

    /// Writes an object; one that is the same keeps its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut s = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, old)) = s.objects.get(&key)
            && old == spec
        {
            return *revision;
        }
        s.revision += 1;
        let revision = s.revision;
        s.objects.insert(key, (revision, spec.to_owned()));
        s.log.push((revision, kind.to_owned(), object_text(name, revision, spec), false));
        drop(s);
        self.changed.notify_all();
        revision
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut s = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some((_, spec)) = s.objects.remove(&key) {
            s.revision += 1;
            let revision = s.revision;
            s.log.push((revision, kind.to_owned(), object_text(name, revision, &spec), true));
        }
        drop(s);
        self.changed.notify_all();
    }

    fn handle(&self, req: &Req, w: &mut TcpStream) -> bool {
        let Some(rest) = req.path.strip_prefix("/objects/") else {
            return answer(w, 404, &[], b"{}");
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        let json = [("Content-Type", "application/json")];
        match (req.method.as_str(), name) {
            ("GET", None) if req.param("watch").is_some() => {
                match self.watch(req, kind) {
                    Some((status, body)) => answer(w, status, &json, body.as_bytes()),
                    None => false,
                }
            }
            ("GET", None) => {
                let s = self.state.lock().unwrap();
                let after = req.param("after").unwrap_or_default();
                let of_kind = s.objects.iter().filter(|((k, n), _)| k == kind && n.as_str() > after);
                let mut entries: Vec<String> = Vec::new();
                let (mut bytes, mut is_truncated) = (0, false);
                for ((_, n), (r, spec)) in of_kind {
                    let text = object_text(n, *r, spec);
                    if !entries.is_empty() && bytes + text.len() > PAGE_BYTES {
                        is_truncated = true;
                        break;
                    }
                    bytes += text.len();
                    entries.push(text);
                }
                let body = format!(
                    "{{\"entries\":[{}],\"truncated\":{is_truncated},\"current-rev\":{}}}",
                    entries.join(","),
                    s.revision
                );
                drop(s);
                answer(w, 200, &json, body.as_bytes())
            }
            ("GET", Some(name)) => {
                let s = self.state.lock().unwrap();
                let object = s.objects.get(&(kind.to_owned(), name.to_owned()));
                let object = object.map(|(r, spec)| object_text(name, *r, spec));
                drop(s);
                match object {
                    Some(body) => answer(w, 200, &json, body.as_bytes()),
                    None => answer(w, 404, &json, b"{}"),
                }
            }
            ("POST", None) | ("PUT", Some(_)) => {
                let (status, body) = self.write(req, kind, name);
                answer(w, status, &json, body.as_bytes())
            }
            ("DELETE", Some(name)) => {
                self.delete(kind, name);
                answer(w, 200, &json, b"{}")
            }
            _ => answer(w, 404, &json, b"{}"),
        }
    }

    fn write(&self, req: &Req, kind: &str, name: Option<&str>) -> (u16, String) {
        let doc = parse_json(&String::from_utf8_lossy(&req.body));
        let Some(doc) = doc else {
            return (400, "{}".to_owned());
        };
        let metadata = doc.get("metadata").cloned().unwrap_or(Json::Null);
        let named = metadata.get("name").and_then(Json::as_str).map(str::to_owned);
        let Some(name) = name.map(str::to_owned).or(named) else {
            return (400, "{}".to_owned());
        };
        let condition = metadata.get("revision").and_then(Json::as_u64);
        let spec = doc.get("spec").map_or("null".to_owned(), Json::text);
        let mut s = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.clone());
        let known = s.objects.get(&key).cloned();
        match (req.method.as_str(), &known) {
            ("POST", Some((r, spec))) => return (409, object_text(&name, *r, spec)),
            ("PUT", None) => return (404, "{}".to_owned()),
            ("PUT", Some((r, spec))) if condition.is_some_and(|c| c != *r) => {
                return (409, object_text(&name, *r, spec));
            }
            ("PUT", Some((r, old))) if *old == spec => return (200, object_text(&name, *r, old)),
            _ => {}
        }
        s.revision += 1;
        let revision = s.revision;
        s.objects.insert(key, (revision, spec.clone()));
        let object = object_text(&name, revision, &spec);
        s.log.push((revision, kind.to_owned(), object.clone(), false));
        drop(s);
        self.changed.notify_all();
        (200, object)
    }

    /// From now on watches hear nothing.
    pub fn mute_watches(&self) {
        self.state.lock().unwrap().is_muted = true;
    }

    /// Drops the history, and cuts the watches off.
    pub fn compact(&self) {
        let mut s = self.state.lock().unwrap();
        s.is_muted = false;
        s.compacted = s.revision;
        s.cuts += 1;
        drop(s);
        self.changed.notify_all();
    }

    /// Returns the answer to a watch; `None` if it is cut off.
    fn watch(&self, req: &Req, kind: &str) -> Option<(u16, String)> {
        let number = |name| req.param(name).and_then(|v| v.parse::<u64>().ok());
        let from = number("watch").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let mut s = self.state.lock().unwrap();
        let cuts = s.cuts;
        loop {
            if s.cuts != cuts {
                return None;
            }
            if from < s.compacted {
                return Some((410, "{}".to_owned()));
            }
            let is_muted = s.is_muted;
            let new = s.log.iter().filter(|(r, k, _, _)| *r > from && k == kind && !is_muted);
            let events = new.map(|(_, _, o, d)| format!("{{\"object\":{o},\"deleted\":{d}}}"));
            let events: Vec<String> = events.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"current-rev\":{}}}",
                    events.join(","),
                    // Nothing is told of a change that watches don't hear of.
                    if is_muted { from } else { s.revision }
                );
                return Some((200, body));
            }
            s = self.changed.wait_timeout(s, left).unwrap().0;
        }
    }
}

pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---------------------------------------------------------------- model servers

/// What a model server holds, as the others on a path see it.
#[derive(Clone, Debug)]
pub struct Held {
    pub layers: Option<(u16, u16)>,
    pub seq: u64,
    pub busy: bool,
    pub draining: bool,
    /// Streams whose paths include it; true aborts one.
    pub streams: Vec<std::sync::Weak<AtomicBool>>,
}

impl Held {
    fn new(layers: Option<(u16, u16)>) -> Held {
        Held {
            layers,
            seq: 0,
            busy: false,
            draining: false,
            streams: Vec::new(),
        }
    }

    /// Number of streams whose paths include it.
    pub fn running(&mut self) -> usize {
        self.streams.retain(|s| s.strong_count() > 0);
        self.streams.len()
    }
}

/// All model servers that run, by address.
pub type Fleet = Arc<Mutex<HashMap<SocketAddr, Arc<Mutex<Held>>>>>;

/// How a model server behaves.
#[derive(Clone)]
pub struct EngineSpec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub kind: String,
    /// Layers of the model.
    pub model_layers: u16,
    /// Layers that it holds at the start.
    pub layers: Option<(u16, u16)>,
    pub load: Duration,
    pub events: u64,
    pub event_interval: Duration,
}

/// A running model server, registered in the store.
pub struct Engine {
    pub spec: EngineSpec,
    pub address: SocketAddr,
    held: Arc<Mutex<Held>>,
    server: HttpServer,
    store: Arc<Store>,
    fleet: Fleet,
    born: u64,
}

/// Returns the entry of a server.
pub fn entry(service: &str, address: SocketAddr, zone: &str, born: u64, rest: &str) -> String {
    format!(
        "{{\"service\":{},\"address\":\"{address}\",\"zone\":{},\"version\":\"v1\",\"slots\":192,\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":1,\"born\":{born}{rest}}}",
        quote(service),
        quote(zone)
    )
}

fn engine_entry(spec: &EngineSpec, address: SocketAddr, born: u64, held: &Held) -> String {
    let layers = held.layers.map_or(String::new(), |(from, to)| {
        format!(",\"layers\":{{\"from\":{from},\"to\":{to},\"version\":1}}")
    });
    let state = if held.draining { "draining" } else { "ready" };
    let rest = format!(
        ",\"stage\":\"colocated\",\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\"route-kind\":{}{layers}",
        quote(&spec.kind)
    );
    let ready = entry(&spec.service, address, &spec.zone, born, &rest);
    ready.replace("\"state\":\"ready\"", &format!("\"state\":\"{state}\""))
}

impl Engine {
    pub fn start(spec: EngineSpec, at: Option<SocketAddr>, store: &Arc<Store>, fleet: &Fleet, record: &Arc<Record>) -> Engine {
        let held = Arc::new(Mutex::new(Held::new(spec.layers)));
        let born = now_ms();
        let own: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        let handler: Handler = {
            let (spec, held, store) = (spec.clone(), Arc::clone(&held), Arc::clone(store));
            let (fleet, record, own) = (Arc::clone(fleet), Arc::clone(record), Arc::clone(&own));
            Arc::new(move |req, w| {
                let address = own.lock().unwrap().unwrap();
                let cx = EngineCx { spec: &spec, held: &held, store: &store, fleet: &fleet, record: &record, address, born };
                cx.handle(req, w)
            })
        };
        let server = HttpServer::start(at.unwrap_or("127.0.0.1:0".parse().unwrap()), handler);
        *own.lock().unwrap() = Some(server.address);
        fleet.lock().unwrap().insert(server.address, Arc::clone(&held));
        let text = engine_entry(&spec, server.address, born, &held.lock().unwrap());
        store.put("servers", &spec.id, &text);
        record.line(format!("server {} of {} starts at {} holding {:?}", spec.id, spec.service, server.address, spec.layers));
        Engine {
            address: server.address,
            spec,
            held,
            server,
            store: Arc::clone(store),
            fleet: Arc::clone(fleet),
            born,
        }
    }

    /// Ends it as a crash does: connections and listener go, its entry stays.
    pub fn crash(&mut self) {
        self.fleet.lock().unwrap().remove(&self.address);
        self.server.stop();
    }

    pub fn held(&self) -> Held {
        self.held.lock().unwrap().clone()
    }

    /// Reports that it is draining; it goes on serving.
    pub fn drain(&self) {
        let mut held = self.held.lock().unwrap();
        held.draining = true;
        self.store.put("servers", &self.spec.id, &engine_entry(&self.spec, self.address, self.born, &held));
    }

    /// Ends it after it has drained.
    pub fn leave(&mut self) {
        self.store.delete("servers", &self.spec.id);
        self.crash();
    }
}

struct EngineCx<'a> {
    spec: &'a EngineSpec,
    held: &'a Arc<Mutex<Held>>,
    store: &'a Arc<Store>,
    fleet: &'a Fleet,
    record: &'a Arc<Record>,
    address: SocketAddr,
    born: u64,
}

impl EngineCx<'_> {
    fn handle(&self, req: &Req, w: &mut TcpStream) -> bool {
        if let Some(id) = req.header("x-kelpworks-expect-instance")
            && id != self.spec.id
        {
            return answer(w, 421, &[("X-Kelpworks-Instance-Id", &self.spec.id)], b"");
        }
        match req.path.as_str() {
            "/report" => self.report(w),
            "/order" => self.order(req, w),
            "/healthz" => answer(w, 200, &[("X-Kelpworks-Instance-Id", &self.spec.id)], b""),
            _ => self.run(req, w),
        }
    }

    fn report(&self, w: &mut TcpStream) -> bool {
        let held = self.held.lock().unwrap().clone();
        let layers = held.layers.map_or(String::new(), |(from, to)| {
            format!(",\"layers\":{{\"from\":{from},\"to\":{to},\"version\":1}}")
        });
        let body = format!(
            "{{\"stage\":\"colocated\",\"models\":[],\"busy\":{},\"seq\":{},\"queued\":0,\"running\":0,\"kv-used\":0,\"kv-total\":90000,\"handles\":0,\"pace\":1.0,\"born\":{}{layers}}}",
            held.busy, held.seq, self.born
        );
        self.record.line(format!("server {} is asked for its report", self.spec.id));
        answer(w, 200, &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn order(&self, req: &Req, w: &mut TcpStream) -> bool {
        let doc = parse_json(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        self.record.line(format!("server {} is ordered {}", self.spec.id, doc.text()));
        if doc.get("op").and_then(Json::as_str) != Some("place") {
            return answer(w, 404, &[], b"");
        }
        let number = |name| doc.get(name).and_then(Json::as_u64);
        let evicts = doc.get("strategy").and_then(Json::as_str) == Some("evict");
        let (Some(from), Some(to)) = (number("from"), number("to")) else {
            return answer(w, 400, &[], b"");
        };
        {
            let mut held = self.held.lock().unwrap();
            if held.busy || number("expect").is_some_and(|e| e != held.seq) {
                return answer(w, 409, &[], b"");
            }
            held.seq += 1;
            held.busy = true;
            held.layers = None;
            let running = held.running();
            if evicts {
                self.record.line(format!("server {} evicts {running} streams", self.spec.id));
                for stream in held.streams.iter().filter_map(std::sync::Weak::upgrade) {
                    stream.store(true, Ordering::Relaxed);
                }
            }
        }
        let (spec, held, store) = (self.spec.clone(), Arc::clone(self.held), Arc::clone(self.store));
        let (address, born, fleet) = (self.address, self.born, Arc::clone(self.fleet));
        thread::spawn(move || {
            while held.lock().unwrap().running() > 0 {
                thread::sleep(Duration::from_millis(5));
            }
            thread::sleep(spec.load);
            let mut state = held.lock().unwrap();
            state.layers = Some((from as u16, to as u16));
            state.busy = false;
            if fleet.lock().unwrap().get(&address).is_some_and(|h| Arc::ptr_eq(h, &held)) {
                store.put("servers", &spec.id, &engine_entry(&spec, address, born, &state));
            }
        });
        answer(w, 202, &[], b"")
    }

    /// Runs a request along its path.
    fn run(&self, req: &Req, w: &mut TcpStream) -> bool {
        let id = req.header("x-kelpworks-attempt-id").unwrap_or_default().to_owned();
        let hops: Vec<(SocketAddr, (u16, u16))> = match req.header("x-kelpworks-hops") {
            None => vec![(self.address, (0, self.spec.model_layers))],
            Some(text) => text.split(',').filter_map(parse_hop).collect(),
        };
        if hops.first().is_none_or(|(a, _)| *a != self.address) {
            return answer(w, 400, &[("X-Kelpworks-Attempt-Id", &id), ("X-Kelpworks-Not-Executed", "1")], b"");
        }
        let aborted = Arc::new(AtomicBool::new(false));
        for (address, (from, to)) in &hops {
            let held = self.fleet.lock().unwrap().get(address).cloned();
            let at = address.to_string();
            let refusal = [("X-Kelpworks-Attempt-Id", id.as_str()), ("At-Server", &at), ("X-Kelpworks-Not-Executed", "1")];
            let Some(held) = held else {
                return answer(w, 503, &refusal, b"");
            };
            let mut held = held.lock().unwrap();
            if held.layers.is_none_or(|(f, t)| f > *from || t < *to) {
                return answer(w, 421, &refusal, b"");
            }
            held.running();
            held.streams.push(Arc::downgrade(&aborted));
        }
        let after: u64 = req.header("last-event-id").and_then(|e| e.parse().ok()).unwrap_or(0);
        let path: Vec<String> = hops.iter().map(|(a, (from, to))| format!("{a}={from}-{to}")).collect();
        self.record.line(format!("server {} runs {id} after event {after} along {}", self.spec.id, path.join(",")));
        let stamp = format!("stamp-{}-{id}", self.spec.id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Kelpworks-Attempt-Id: {id}\r\nX-Kelpworks-Server-Stamp: {stamp}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if w.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for n in after + 1..=self.spec.events {
            thread::sleep(self.spec.event_interval);
            if aborted.load(Ordering::Relaxed) {
                self.record.line(format!("server {} cuts {id} off before event {n}: evicted", self.spec.id));
                return false;
            }
            let event = format!("id: {n}\ndata: token-{n}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if w.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        w.write_all(b"0\r\n\r\n").is_ok()
    }
}

fn parse_hop(text: &str) -> Option<(SocketAddr, (u16, u16))> {
    let (address, range) = text.trim().split_once('=')?;
    let (from, to) = range.split_once('-')?;
    Some((address.parse().ok()?, (from.parse().ok()?, to.parse().ok()?)))
}

// ---------------------------------------------------------------- plain servers

/// Starts a plain server that answers each request with `body` after `work`, and registers it.
pub fn plain(id: &str, service: &str, zone: &str, store: &Arc<Store>, record: &Arc<Record>, work: Duration, body: Vec<u8>) -> HttpServer {
    let own_id = id.to_owned();
    let log = Arc::clone(record);
    let handler: Handler = Arc::new(move |req, w| {
        if let Some(expected) = req.header("x-kelpworks-expect-instance")
            && expected != own_id
        {
            return answer(w, 421, &[("X-Kelpworks-Instance-Id", &own_id)], b"");
        }
        let attempt = req.header("x-kelpworks-attempt-id").unwrap_or_default();
        log.line(format!("server {own_id} runs {attempt}: {} {}", req.method, req.path));
        thread::sleep(work);
        let stamp = format!("stamp-{own_id}-{attempt}");
        answer(w, 200, &[("X-Kelpworks-Attempt-Id", attempt), ("X-Kelpworks-Server-Stamp", &stamp)], &body)
    });
    let server = HttpServer::start("127.0.0.1:0".parse().unwrap(), handler);
    store.put("servers", id, &entry(service, server.address, zone, now_ms(), ""));
    record.line(format!("server {id} of {service} starts at {}", server.address));
    server
}

// ---------------------------------------------------------------- daemons

/// Returns this many free ports of the loopback address.
pub fn free_ports(count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    listeners.iter().map(|l| l.local_addr().unwrap().port()).collect()
}

/// What the platform puts into the settings of a daemon.
#[derive(Clone, Debug)]
pub struct Values {
    pub name: String,
    pub zone: String,
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub handover: u16,
    pub store: SocketAddr,
    pub seeds: Vec<String>,
    pub grace_s: String,
    pub memory_mb: u32,
    pub max_fds: u32,
}

impl Values {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.front))
    }

    /// Renders the project's template as the platform does.
    pub fn render(&self, template: &str, operators: u16) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(|s| quote(s)).collect();
        let loopback = |port: u16| quote(&format!("127.0.0.1:{port}"));
        let fields = [
            ("{{node-name|json}}", quote(&self.name)),
            ("{{zone|json}}", quote(&self.zone)),
            ("{{listen.front|json}}", loopback(self.front)),
            ("{{listen.ready|json}}", loopback(self.ready)),
            ("{{listen.control|json}}", loopback(self.control)),
            // All daemons of this small deployment share one address, so each has ports of its own.
            ("{{ip}}:9464", format!("127.0.0.1:{operators}")),
            ("{{ip}}", "127.0.0.1".to_owned()),
            ("{{port-range.0}}", self.handover.to_string()),
            ("{{platform.address|json}}", quote(&self.store.to_string())),
            ("{{seeds|json}}", format!("[{}]", seeds.join(","))),
            ("{{bounds.grace-s}}", self.grace_s.clone()),
            ("{{bounds.retry-window-s}}", "10".to_owned()),
            ("{{bounds.retry-ratio}}", "0.2".to_owned()),
            ("{{bounds.retry-slack}}", "198".to_owned()),
            ("{{#limits.memory-mb}}memory_mb = {{.}}{{/limits.memory-mb}}", format!("memory_mb = {}", self.memory_mb)),
            ("{{#limits.max-fds}}descriptors = {{.}}{{/limits.max-fds}}", format!("descriptors = {}", self.max_fds)),
        ];
        let mut text = template.to_owned();
        for (placeholder, value) in &fields {
            text = text.replace(placeholder, value);
        }
        assert!(!text.contains("{{"), "unknown placeholder in the template: {text}");
        text
    }
}

/// A daemon of the project, as a process of its own.
pub struct Daemon {
    pub values: Values,
    pub settings: PathBuf,
    operators: u16,
    log: PathBuf,
    pub child: Option<Child>,
}

const PROGRAM: &str = "target/release/kelpworks";
const TEMPLATE: &str = "platform/settings.toml.in";

impl Daemon {
    pub fn new(dir: &std::path::Path, values: Values, operators: u16) -> Daemon {
        Daemon {
            settings: dir.join(format!("{}.toml", values.name)),
            log: dir.join(format!("{}.log", values.name)),
            values,
            operators,
            child: None,
        }
    }

    /// Renders the settings file.
    pub fn write_settings(&self) {
        let template = std::fs::read_to_string(TEMPLATE).expect("template");
        std::fs::write(&self.settings, self.values.render(&template, self.operators)).expect("settings");
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new(PROGRAM)
            .args(["relay", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the daemon's program");
        self.child = Some(child);
    }

    /// Returns the exit status if the process has ended.
    pub fn exited(&mut self) -> Option<std::process::ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args(["-s", name, &child.id().to_string()]).status();
        }
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from(([127, 0, 0, 1], self.values.ready));
        let got = call(address, "GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", Duration::from_secs(1));
        got.status == 200
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn log_tail(&self, lines: usize) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let all: Vec<&str> = text.lines().filter(|l| !l.trim().is_empty()).collect();
        all[all.len().saturating_sub(lines)..].iter().map(|l| (*l).to_owned()).collect()
    }

    pub fn log_lines_with(&self, word: &str) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter(|l| l.contains(word)).map(str::to_owned).collect()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns daemons that know each other, one for each zone.
pub fn daemons(dir: &std::path::Path, zones: &[&str], store: SocketAddr) -> Vec<Daemon> {
    let ports = free_ports(zones.len() * 5);
    let seeds: Vec<String> = (0..zones.len()).map(|i| format!("127.0.0.1:{}", ports[i * 5 + 2])).collect();
    let daemon = |(i, zone): (usize, &&str)| {
        let p = &ports[i * 5..i * 5 + 5];
        let values = Values {
            name: format!("entry-{}", i + 1),
            zone: (*zone).to_owned(),
            front: p[0],
            ready: p[1],
            control: p[2],
            handover: p[3],
            store,
            seeds: seeds.clone(),
            grace_s: "8".to_owned(),
            memory_mb: 260,
            max_fds: 4_100,
        };
        Daemon::new(dir, values, p[4])
    };
    zones.iter().enumerate().map(daemon).collect()
}

/// A temporary folder, removed when dropped.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn new(name: &str) -> TempDir {
        let dir = std::env::temp_dir().join(format!("kelpworks-review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        TempDir(dir)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Whether the case is to be played with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
