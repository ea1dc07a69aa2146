//! A platform for the command line: an object API and a daemon's status, on a loopback port.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::Arc;
use std::sync::Mutex;

use kelpworks_wire::ApiError;
use kelpworks_wire::ApiErrorCode;
use kelpworks_wire::Object;
use kelpworks_wire::ObjectBody;

/// What the platform holds.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) objects: BTreeMap<String, Object>,
    pub(crate) version: u64,
    /// Replies of `GET /status`, in order; the last one stays.
    pub(crate) statuses: Vec<String>,
    /// The object API refuses everything.
    pub(crate) out: bool,
}

/// A platform that serves until the test ends.
pub(crate) struct Platform {
    pub(crate) address: SocketAddr,
    pub(crate) state: Arc<Mutex<State>>,
}

impl Platform {
    pub(crate) fn start() -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&shared);
                std::thread::spawn(move || serve(stream, &state));
            }
        });
        Platform { address, state }
    }

    /// Replies of `GET /status`, in order.
    pub(crate) fn statuses(&self, statuses: &[&str]) {
        self.state.lock().unwrap().statuses = statuses.iter().map(ToString::to_string).collect();
    }

    /// Body of the head object, if there is one.
    pub(crate) fn head(&self) -> Option<String> {
        let state = self.state.lock().unwrap();
        let head = state.objects.get("/objects/kelpworks.head/current")?;
        Some(head.body.clone())
    }
}

/// Serves one connection.
fn serve(stream: TcpStream, state: &Mutex<State>) {
    let mut reader = BufReader::new(stream);
    while let Some((method, target, body)) = read_request(&mut reader) {
        let (status, reply) = answer(&mut state.lock().unwrap(), &method, &target, &body);
        let length = reply.len();
        let text = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{reply}");
        if reader.get_mut().write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads one request: its method, target and body.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, String, String)> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|&n| n > 0)?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        if line.trim().is_empty() {
            break;
        }
        if let Some(n) = line.strip_prefix("content-length: ") {
            length = n.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let mut words = first.split_whitespace().map(str::to_owned);
    Some((words.next()?, words.next()?, String::from_utf8(body).ok()?))
}

fn answer(state: &mut State, method: &str, target: &str, body: &str) -> (u16, String) {
    if target == "/status" {
        let more = state.statuses.len() > 1;
        let status = match more {
            true => state.statuses.remove(0),
            false => state.statuses.first().cloned().unwrap_or_default(),
        };
        return (200, status);
    }
    if state.out {
        return refuse(503, ApiErrorCode::Unavailable, None);
    }
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let current = state.objects.get(path).cloned();
    if method == "GET" {
        return match current {
            Some(object) => (200, serde_json::to_string(&object).unwrap()),
            None => refuse(404, ApiErrorCode::NotFound, None),
        };
    }
    let wanted = query
        .strip_prefix("if_version=")
        .and_then(|v| v.parse().ok());
    if wanted.is_some_and(|w: u64| w != current.as_ref().map_or(0, |c| c.version)) {
        return refuse(409, ApiErrorCode::Conflict, current);
    }
    state.version += 1;
    let names: Vec<&str> = path.split('/').collect();
    let object = Object {
        kind: names[2].to_owned(),
        name: names[3].to_owned(),
        version: state.version,
        body: serde_json::from_str::<ObjectBody>(body).unwrap().body,
    };
    state.objects.insert(path.to_owned(), object.clone());
    (200, serde_json::to_string(&object).unwrap())
}

fn refuse(status: u16, code: ApiErrorCode, current: Option<Object>) -> (u16, String) {
    let error = ApiError {
        code,
        message: String::new(),
        current,
    };
    (status, serde_json::to_string(&error).unwrap())
}

/// Runs the binary in the directory of the examples.
pub(crate) fn kelpworks(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_kelpworks"))
        .args(args)
        .current_dir(testdata())
        .output()
        .unwrap()
}

fn testdata() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../testdata")
}

/// Code, standard output and standard error, for a snapshot.
pub(crate) fn report(output: &Output) -> String {
    let code = output.status.code().expect("an exit code");
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    format!("exit {code}\n-- stdout\n{out}-- stderr\n{err}")
}
