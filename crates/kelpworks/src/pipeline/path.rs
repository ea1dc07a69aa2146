//! Chooses the path of a session, logs the reasons, and moves the session to it.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::Instant;

use crate::clients::engine::Engine;
use crate::fleet::Fleet;
use crate::fleet::ModelKey;
use crate::pipeline::driver::Result;
use crate::pipeline::driver::SessionError;
use crate::pipeline::hop::HopState;
use crate::pipeline::session::Session;
use crate::routing;
use crate::routing::PathGuard;
use crate::routing::PathQuery;
use crate::verdict::Verdict;

/// Interval between searches for a path while none is available; also the initial backoff when a
/// failed stage has no replacement.
pub(super) const NO_PATH_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time that a session that has sent nothing waits for a path.
const NO_PATH_TIMEOUT: Duration = Duration::from_secs(5);

impl<E: Engine> Session<'_, E> {
    /// Moves the session to a new path, and waits for one while none is available. Stages whose
    /// upstreams are not avoided and still serve keep their place and state.
    pub(super) async fn route(&mut self, reason: &'static str) -> Result<()> {
        let timeout_at = Instant::now() + NO_PATH_TIMEOUT;
        loop {
            match self.try_route(reason) {
                Ok(()) => return Ok(()),
                // A caller without any part of the answer can retry elsewhere. One that has
                // received tokens can get the rest only from this session, so it waits longer.
                Err(e) if !self.has_sent() && timeout_at <= Instant::now() => {
                    return Err(SessionError::NoPath(e));
                }
                Err(e) if self.job.deadline <= Instant::now() + NO_PATH_RETRY_INTERVAL => {
                    return Err(SessionError::NoPath(e));
                }
                Err(e) if self.verdict == Verdict::NotRun && self.hops.is_empty() => {
                    return Err(SessionError::NoPath(e));
                }
                Err(_) => tokio::time::sleep(NO_PATH_RETRY_INTERVAL).await,
            }
        }
    }

    /// Returns the keys in a snapshot of the session's model and, once its first path is chosen, of
    /// its version. They are looked up by name, because keys change with the register. A model or
    /// version that the snapshot does not contain gets an unused key, so that the session never
    /// continues with another.
    fn model_and_version(&self, fleet: &Fleet) -> (ModelKey, Option<u16>) {
        let Some(key) = fleet.model(&self.params.model) else {
            return (ModelKey(u16::MAX), None);
        };
        if self.params.version.is_empty() {
            return (key, None);
        }
        let mut versions = fleet.models[usize::from(key.0)].versions.iter();
        let at = versions.position(|v| *v == self.params.version);
        (key, Some(at.map_or(u16::MAX, |at| at as u16)))
    }

    /// Moves the session to a new path if one is available now.
    pub(super) fn try_route(&mut self, reason: &'static str) -> routing::Result<()> {
        let fleet = self.driver.fleet.load_full();
        let keep: Vec<routing::Hop> = self
            .hops
            .iter()
            .filter(|h| !self.avoid.contains(&h.upstream))
            .map(HopState::to_hop)
            .collect();
        let path = self.choose_path(&fleet, &keep)?;
        let (model, _) = self.model_and_version(&fleet);
        let model = &fleet.models[usize::from(model.0)];
        self.params.version = model.versions[usize::from(path.version)].clone();
        self.apply_path(&fleet, &path);
        let on_path = self.hops.iter().map(|h| h.upstream);
        self.driver
            .quarantine
            .record_path(self.job.fingerprint, on_path);
        self.path_guard = Some(PathGuard::new(&fleet, &path.hops));
        let names: Vec<&str> = self.hops.iter().map(|h| &*h.name).collect();
        info!(
            target: "decision", decision = "route", request = self.params.session.as_str(),
            team = self.job.team.as_str(), candidates = path.candidates,
            choice = names.join(","), reason = reason,
            why:% = path.explanation.display(&fleet);
            "path chosen"
        );
        Ok(())
    }

    /// Chooses a path. The path of a request suspected of crashing upstreams avoids, where
    /// possible, those on which a crash would affect other requests.
    fn choose_path(&self, fleet: &Fleet, keep: &[routing::Hop]) -> routing::Result<routing::Path> {
        let (model, version) = self.model_and_version(fleet);
        let query = PathQuery {
            model,
            version,
            from: self.driver.own_domain(fleet),
            class: self.job.class,
            prefill: self.token_ids.len() as u32,
            avoid: &self.avoid,
            keep,
            now_ms: self.driver.now_ms(),
        };
        let mut avoid = self.avoided_by_suspect(fleet, keep);
        if !avoid.is_empty() {
            avoid.extend(&self.avoid);
            let isolated_query = PathQuery {
                avoid: &avoid,
                ..query.clone()
            };
            let path = routing::choose_path(fleet, &isolated_query, &mut rand::rng());
            let uses_avoided =
                |path: &routing::Path| path.hops.iter().any(|h| avoid.contains(&h.upstream));
            if let Ok(path) = path
                && !uses_avoided(&path)
            {
                return Ok(path);
            }
        }
        routing::choose_path(fleet, &query, &mut rand::rng())
    }

    /// Replaces the session's stages with those of a path. Stages that are on it already keep their
    /// state; the others are freed at the end of the session.
    fn apply_path(&mut self, fleet: &Fleet, path: &routing::Path) {
        let mut old = std::mem::take(&mut self.hops);
        for hop in &path.hops {
            if let Some(at) = old.iter().position(|h| h.matches(hop)) {
                self.hops.push(old.swap_remove(at));
                continue;
            }
            let upstream = &fleet.upstreams[hop.upstream];
            self.hops.push(HopState {
                upstream: hop.upstream,
                url: Arc::clone(&upstream.url),
                name: Arc::clone(&upstream.name),
                layers: hop.layers.clone(),
                attempt: self.next_attempt,
                positions_run: 0,
                rows: Vec::new(),
            });
            self.next_attempt += 1;
        }
        self.abandoned.extend(old);
    }
}
