//! Questions to the daemon that grants the test runs of a suspected request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kelpworks::membership::connections;
use kelpworks_coord::poison::Fingerprint;
use kelpworks_coord::time::Span;
use log::info;

use super::PeerApiClient;
use super::Peers;
use super::messages::TestRunReply;
use super::messages::TestRunRequest;
use crate::shared::crashes::TEST_RUN_RETRY;
use crate::shared::crashes::TestRunAnswer;
use crate::shared::crashes::TestRunQuestion;

/// Timeout of a question, on the pooled connection and on a new one. A request that may not run now is refused, and its
/// caller comes again.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(250);

impl Peers {
    /// Has a question of this daemon answered by the daemon that grants the test runs of the request.
    pub(super) async fn answer_test_run(self: Arc<Peers>, question: TestRunQuestion) {
        let TestRunQuestion {
            fingerprint,
            answer,
        } = question;
        let owner = self.by_hash(fingerprint.0, 1).first().copied();
        let granted = match owner {
            Some(owner) if owner != self.address => self.ask_for_test_run(owner, fingerprint).await,
            _ => self.shared.grant_test_run(fingerprint, &self.name),
        };
        // The request may have been abandoned meanwhile.
        let _ = answer.send(granted);
    }

    async fn ask_for_test_run(&self, owner: SocketAddr, fingerprint: Fingerprint) -> TestRunAnswer {
        let request = TestRunRequest {
            from: self.address,
            fingerprint: fingerprint.0,
        };
        let address = owner.to_string();
        let call = self.connections.call(
            &address,
            QUESTION_TIMEOUT,
            &request,
            |client, request| async move { client.test_run(request).await },
        );
        let (answer, outcome) = match call.await {
            Ok(TestRunReply { wait_ms: None }) => return TestRunAnswer::Granted,
            Ok(TestRunReply {
                wait_ms: Some(wait),
            }) => (TestRunAnswer::Denied(Span::from_millis(wait)), "denied"),
            // Daemons of older builds don't know the question. They let suspects run in turns alone.
            Err(connections::Error::Refused { .. }) => (TestRunAnswer::Granted, "not understood"),
            Err(connections::Error::NoAnswer(_)) => {
                (TestRunAnswer::Denied(TEST_RUN_RETRY), "no answer")
            }
        };
        info!(
            target: "decision",
            fingerprint:% = fingerprint,
            owner:% = owner,
            outcome:% = outcome;
            "test run of a suspected request asked for"
        );
        answer
    }

    /// Answers another daemon.
    pub(super) fn on_test_run(&self, request: TestRunRequest) -> TestRunReply {
        let TestRunRequest { from, fingerprint } = request;
        let asker = from.to_string();
        let answer = self.shared.grant_test_run(Fingerprint(fingerprint), &asker);
        TestRunReply {
            wait_ms: match answer {
                TestRunAnswer::Granted => None,
                TestRunAnswer::Denied(wait) => Some(wait.as_millis()),
            },
        }
    }
}
