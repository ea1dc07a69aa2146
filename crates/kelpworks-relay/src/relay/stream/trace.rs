//! The lines by which a streamed request can be followed in the log.

use log::info;

use super::Relayed;
use crate::adapter::Adapter;
use crate::adapter::EngineApi;
use crate::adapter::Hop;
use crate::fleet::Load;
use crate::fleet::Upstream;
use crate::path::NoPath;
use crate::path::Path;

impl<D: Adapter, E: EngineApi> Relayed<D, E> {
    /// Logs what stands in the way of a path: the engines that hold the layer and what they run.
    pub(super) fn log_no_path(&self, why: NoPath) {
        let fleet = self.shared.fleet();
        let layer = why.layer();
        let holds = |u: &Upstream| layer.is_some_and(|l| u.layers.is_some_and(|r| r.contains(l)));
        let engines = fleet.of_service(&self.ticket.service.name);
        let holders = engines.filter(|(_, u)| holds(u));
        let state = |u: &Upstream| {
            let Load { running, reserved } = u.load();
            let instance = &u.entry.instance;
            let open = if u.is_ready() { "" } else { " leaving" };
            format!("{instance}{open} runs {running} with {reserved:.0} token-layers")
        };
        let holders: Vec<String> = holders.map(|(_, u)| state(u)).collect();
        info!(
            target: "decision",
            request:% = self.ticket.id,
            tokens = self.tokens(),
            fleet_version:% = fleet.version(),
            layer = layer.unwrap_or(0),
            holders:% = holders.join("; "),
            why:% = why.as_str();
            "no path"
        );
    }

    pub(super) fn log_path(&self, path: &Path) {
        info!(
            target: "decision",
            request:% = self.ticket.id,
            route:% = self.ticket.route.name,
            config_version = self.ticket.version,
            attempt = self.attempts,
            after_event = self.last_event.unwrap_or(0),
            tokens = self.tokens(),
            crossings = path.crossings,
            path:% = text_of(&path.hops);
            "path chosen"
        );
    }

    pub(super) fn log_end(&self, how: &'static str, why: &'static str) {
        let took = self.ticket.arrived.elapsed();
        info!(
            target: "decision",
            request:% = self.ticket.id,
            attempts = self.attempts,
            last_event = self.last_event.unwrap_or(0),
            took_ms = took.as_millis() as u64,
            first_ms = self.pace.first.map(|d| d.as_millis() as u64),
            longest_pause_ms = self.pace.longest_pause.as_millis() as u64,
            why:% = why;
            "stream {how}"
        );
        self.pace.record();
        let labels = [("how", how)];
        metrics::counter!("kelpworks_streams_total", &labels).increment(1);
        metrics::histogram!("kelpworks_stream_seconds").record(took.as_secs_f64());
    }
}

/// A path as it stands in the log.
pub(super) fn text_of(path: &[Hop]) -> String {
    let part = |h: &Hop| format!("{}={}-{}", h.address, h.layers.from, h.layers.to);
    let parts: Vec<String> = path.iter().map(part).collect();
    parts.join(",")
}
