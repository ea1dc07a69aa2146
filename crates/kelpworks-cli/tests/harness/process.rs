//! A child process that a test can signal, and that is killed when the test ends.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// Generous limit on a start or an exit; no test requires a shorter time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of last log lines that a failed test prints.
const LOG_TAIL_LINES: usize = 30;

/// A running child; killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    log: PathBuf,
    /// The first line of its standard output.
    pub(crate) first_line: String,
}

impl Process {
    /// Starts a command and waits for its first line. Its standard error goes into `log`.
    pub(crate) fn spawn(mut command: Command, log: PathBuf) -> Process {
        let file = File::create(&log).expect("a log file");
        let spawned = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(file)
            .spawn();
        let mut child = spawned.unwrap_or_else(|e| panic!("{command:?}: {e}"));
        let out = child.stdout.take().expect("a pipe");
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                // Only the first line is received; the rest is read so that the pipe can't fill.
                let _ = tx.send(line);
            }
        });
        let mut process = Process {
            child,
            log,
            first_line: String::new(),
        };
        let first = rx.recv_timeout(WAIT_TIMEOUT);
        process.first_line = first.unwrap_or_else(|e| panic!("{command:?}: no first line: {e}"));
        process
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("a child that was not waited for can be signalled");
    }

    /// Returns the highest resident set size of the process so far, in bytes.
    pub(crate) fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the status of a child");
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kib = line.and_then(|l| l.trim().strip_suffix("kB"));
        let kib: u64 = kib.expect("a size").trim().parse().expect("a number");
        kib << 10
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("a child can be killed");
        self.child.wait().expect("a child can be waited for");
    }

    /// Waits for the process to exit by itself.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the status of a child can be read")
            {
                return status;
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the process did not exit");
    }

    /// Returns what the process has written to standard error so far.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            let log = self.log();
            let lines: Vec<&str> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..];
            eprintln!("-- {}\n{}", self.log.display(), tail.join("\n"));
        }
    }
}
