//! Processor quotas of single processes, by signals that stop and continue them.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// Period of a quota: a process runs until it has used its share of it, and is stopped for the rest.
const PERIOD: Duration = Duration::from_millis(100);
/// Interval at which the use of the processor is read.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Quota of one process, which ends when this is dropped. Drop it before the process.
#[derive(Debug)]
pub(crate) struct Quota {
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Quota {
    /// Lets a process use `share` of a core, from 0 to 1.
    pub(crate) fn start(pid: u32, share: f64) -> Quota {
        let ended = Arc::new(AtomicBool::new(false));
        let thread = {
            let ended = Arc::clone(&ended);
            std::thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    run_period(pid, PERIOD.mul_f64(share));
                }
            })
        };
        Quota {
            ended,
            thread: Some(thread),
        }
    }
}

impl Drop for Quota {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Stops a process for the rest of a period once it has used this much of the processor.
fn run_period(pid: u32, allowed: Duration) {
    let until = Instant::now() + PERIOD;
    let used_before = processor_time(pid);
    let mut is_stopped = false;
    while Instant::now() < until {
        std::thread::sleep(POLL_INTERVAL);
        if !is_stopped && processor_time(pid).saturating_sub(used_before) >= allowed {
            signal(pid, Signal::STOP);
            is_stopped = true;
        }
    }
    if is_stopped {
        signal(pid, Signal::CONT);
    }
}

fn signal(pid: u32, signal: Signal) {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw);
    // The process may have ended.
    let _ = pid.map(|pid| kill_process(pid, signal));
}

/// Returns the processor time that all threads of a process have used.
pub(crate) fn processor_time(pid: u32) -> Duration {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task"));
    let tasks = tasks.into_iter().flatten().flatten();
    tasks.map(|task| thread_time(task.path())).sum()
}

fn thread_time(task: PathBuf) -> Duration {
    let text = std::fs::read_to_string(task.join("schedstat")).unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}
