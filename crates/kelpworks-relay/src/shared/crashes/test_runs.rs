//! Test runs of suspects: a request that may be one of those that crash upstreams runs as one copy at a time, over all
//! daemons.
//!
//! One daemon, the same for all, grants the runs of a request. It is asked over the connections between daemons; a
//! daemon on its own asks itself.

use kelpworks::sync::lock;
use kelpworks_coord::poison::Fingerprint;
use kelpworks_coord::time::Span;
use log::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Cleared;
use super::CrashRefusal;
use super::Runnable;
use super::Shared;

/// Questions that wait to be sent to other daemons. More are denied.
const MAX_QUESTIONS: usize = 256;
/// Time after which a test run may be asked for again that is denied without another one being under way.
pub(crate) const TEST_RUN_RETRY: Span = Span::from_secs(1);

/// A granted test run that has not begun.
#[derive(Debug)]
pub(crate) struct TestRun(());

/// Answer to a question whether a test run may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TestRunAnswer {
    /// It may begin now.
    Granted,
    /// Not before this time has passed.
    Denied(Span),
}

impl TestRunAnswer {
    fn as_str(self) -> &'static str {
        match self {
            TestRunAnswer::Granted => "granted",
            TestRunAnswer::Denied(_) => "denied",
        }
    }
}

/// A question for the daemon that grants the test runs of a request.
#[derive(Debug)]
pub(crate) struct TestRunQuestion {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) answer: oneshot::Sender<TestRunAnswer>,
}

impl Shared {
    /// Returns the permission to run a request: at once, or for a suspect once its test run is granted. `unused` keeps
    /// a grant until the request is sent.
    pub(crate) async fn permit_run(
        &self,
        fingerprint: Fingerprint,
        cleared: Cleared,
        unused: &mut Option<TestRun>,
    ) -> std::result::Result<Runnable, CrashRefusal> {
        if let Some(runnable) = cleared.runnable() {
            return Ok(runnable);
        }
        if unused.is_none() {
            match self.ask_for_test_run(fingerprint).await {
                TestRunAnswer::Granted => *unused = Some(TestRun(())),
                TestRunAnswer::Denied(wait) => return Err(CrashRefusal::waits_for_turn(wait)),
            }
        }
        Ok(Runnable { lane: cleared.lane })
    }

    async fn ask_for_test_run(&self, fingerprint: Fingerprint) -> TestRunAnswer {
        let questions = lock(&self.test_run_questions).clone();
        let Some(questions) = questions else {
            return self.grant_test_run(fingerprint, "itself");
        };
        let (answer, answered) = oneshot::channel();
        let question = TestRunQuestion {
            fingerprint,
            answer,
        };
        let denied = TestRunAnswer::Denied(TEST_RUN_RETRY);
        if questions.try_send(question).is_err() {
            return denied;
        }
        answered.await.unwrap_or(denied)
    }

    /// Returns the questions of this daemon, which are to be answered by the daemon that grants test runs.
    pub(crate) fn take_test_run_questions(&self) -> mpsc::Receiver<TestRunQuestion> {
        let (tx, rx) = mpsc::channel(MAX_QUESTIONS);
        *lock(&self.test_run_questions) = Some(tx);
        rx
    }

    /// Answers whether a test run may begin, as the daemon that grants those of the request. `asker` is the name or
    /// address of the daemon that has the copy.
    pub(crate) fn grant_test_run(&self, fingerprint: Fingerprint, asker: &str) -> TestRunAnswer {
        let now = self.ledger_time(Instant::now());
        let (is_refused, crashes) = {
            let ledger = self.crashes();
            let is_refused = ledger.is_refused(fingerprint, now);
            (is_refused, ledger.count(fingerprint))
        };
        let answer = match is_refused {
            true => TestRunAnswer::Denied(TEST_RUN_RETRY),
            false => match lock(&self.test_runs).grant(fingerprint, now) {
                None => TestRunAnswer::Granted,
                Some(wait) => TestRunAnswer::Denied(wait),
            },
        };
        let outcome = answer.as_str();
        metrics::counter!("kelpworks_test_runs_total", "outcome" => outcome).increment(1);
        if answer == TestRunAnswer::Granted {
            info!(
                target: "decision",
                fingerprint:% = fingerprint,
                crashes,
                asker:% = asker;
                "test run of a suspected request granted"
            );
        }
        answer
    }
}
