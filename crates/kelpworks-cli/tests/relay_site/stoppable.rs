//! A thread for upstreams that can stand still like a stopped process: its operating system goes on accepting
//! connections and acknowledging data, which are read when it runs again.

use std::sync::Mutex;
use std::sync::mpsc;
use std::thread;

use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// A thread with a runtime of its own.
#[derive(Debug)]
pub(crate) struct Stoppable {
    runtime: Handle,
    /// Ends the thread when dropped.
    _end: oneshot::Sender<()>,
    /// Lets the thread run again when dropped; `None` while it runs.
    resume: Mutex<Option<mpsc::Sender<()>>>,
}

impl Stoppable {
    /// Starts a thread.
    pub(crate) fn start() -> Stoppable {
        let (end, ended) = oneshot::channel();
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("a runtime");
            tx.send(runtime.handle().clone()).expect("a receiver");
            let _ = runtime.block_on(ended);
        });
        Stoppable {
            runtime: rx.recv().expect("a thread"),
            _end: end,
            resume: Mutex::default(),
        }
    }

    /// Runs a future on the thread.
    pub(crate) async fn run<F>(&self, future: F) -> F::Output
    where
        F: Future<Output: Send> + Send + 'static,
    {
        self.runtime.spawn(future).await.expect("no panic")
    }

    /// Lets nothing run on the thread until it is resumed.
    pub(crate) fn stop(&self) {
        let (tx, rx) = mpsc::channel::<()>();
        self.runtime.spawn(async move {
            // Blocks the only thread of the runtime.
            let _ = rx.recv();
        });
        *self.resume.lock().expect("no panic") = Some(tx);
    }

    /// Lets the thread run again.
    pub(crate) fn resume(&self) {
        self.resume.lock().expect("no panic").take();
    }
}
