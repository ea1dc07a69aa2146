//! A platform for tests of the command line: a fake object API and a daemon's fake status page.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Output;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::process::Command;

use kelpworks::config::head;
use kelpworks::config::head::HEAD_KIND;
use kelpworks::config::head::HEAD_NAME;
use kelpworks::config::head::Head;
use kelpworks_fakes::ObjectApi;
use kelpworks_fakes::ObjectApiConfig;

/// Replaces the platform's address in snapshots.
const ADDRESS_PLACEHOLDER: &str = "[address]";

/// A platform that serves until the test ends.
pub(crate) struct Platform {
    pub(crate) object_api: ObjectApi,
    /// Address of the status page.
    pub(crate) operators: SocketAddr,
    statuses: Arc<Mutex<VecDeque<String>>>,
}

impl Platform {
    pub(crate) async fn start() -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let operators = listener.local_addr().unwrap();
        let statuses = Arc::new(Mutex::new(VecDeque::new()));
        tokio::spawn(serve_statuses(listener, Arc::clone(&statuses)));
        Platform {
            object_api: ObjectApi::spawn(ObjectApiConfig::default()).await.unwrap(),
            operators,
            statuses,
        }
    }

    /// Sets the replies of `GET /status`, in order; the last one is repeated.
    pub(crate) fn set_statuses(&self, statuses: &[&str]) {
        let mut queue = self.statuses.lock().unwrap();
        *queue = statuses.iter().map(ToString::to_string).collect();
    }

    /// Returns the stored head; `None` before the first change.
    pub(crate) fn head(&self) -> Option<Head> {
        let object = self.object_api.get(HEAD_KIND, HEAD_NAME)?;
        Some(head::parse(&object.body).unwrap())
    }

    /// Runs a command against this platform, without a wait for daemons.
    pub(crate) async fn run(&self, args: &[&str]) -> String {
        let url = self.object_api.url();
        let rest = ["--object-api", &url];
        report(&kelpworks(&[args, &rest].concat()).await)
    }

    /// Runs a command against this platform, with `wait` as the longest wait for daemons.
    pub(crate) async fn run_and_wait(&self, args: &[&str], wait: &str) -> String {
        let operators = self.operators.to_string();
        let rest = ["--operators", &operators, "--wait", wait];
        let text = self.run(&[args, &rest].concat()).await;
        text.replace(&operators, ADDRESS_PLACEHOLDER)
    }
}

/// Answers each connection with the next status.
async fn serve_statuses(listener: TcpListener, statuses: Arc<Mutex<VecDeque<String>>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut buf = [0; 4096];
        let _request = stream.read(&mut buf).await;
        let body = {
            let mut queue = statuses.lock().unwrap();
            let next = queue.front().cloned().unwrap_or_default();
            if queue.len() > 1 {
                queue.pop_front();
            }
            next
        };
        let length = body.len();
        let head = format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}");
        let _gone = stream
            .write_all(format!("{head}\r\n\r\n{body}").as_bytes())
            .await;
    }
}

/// Runs the binary in the directory of the examples.
pub(crate) async fn kelpworks(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kelpworks"));
    command.args(args).current_dir(testdata());
    command.output().await.unwrap()
}

/// Returns the directory of the example files.
pub(crate) fn testdata() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../testdata")
}

/// Formats exit code, standard output and standard error for a snapshot.
pub(crate) fn report(output: &Output) -> String {
    let code = output.status.code().expect("an exit code");
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    format!("exit {code}\n-- stdout\n{out}-- stderr\n{err}")
}
