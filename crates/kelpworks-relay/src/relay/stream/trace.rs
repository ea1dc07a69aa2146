//! Log lines that trace a streamed request.

use log::info;

use super::StreamRelay;
use crate::adapter::Adapter;
use crate::adapter::EngineApi;
use crate::adapter::Hop;
use crate::fleet::Load;
use crate::fleet::Upstream;
use crate::path::NoPath;
use crate::path::Path;

impl<D: Adapter, E: EngineApi> StreamRelay<D, E> {
    /// Logs why there is no path: the blocking layer, the engines that hold it and their load.
    pub(super) fn log_no_path(&self, reason: NoPath) {
        let fleet = self.shared.fleet();
        let layer = reason.layer();
        let holds = |u: &Upstream| layer.is_some_and(|l| u.layers.is_some_and(|r| r.contains(l)));
        let engines = fleet.of_service(&self.inbound.service.name);
        let holders = engines.filter(|(_, u)| holds(u));
        let state = |u: &Upstream| {
            let Load { running, reserved } = u.load();
            let instance = &u.entry.instance;
            let suffix = if u.is_ready() { "" } else { " leaving" };
            format!("{instance}{suffix} runs {running} with {reserved:.0} token-layers")
        };
        let holders: Vec<String> = holders.map(|(_, u)| state(u)).collect();
        info!(
            target: "decision",
            request:% = self.inbound.id,
            tokens = self.tokens(),
            fleet_version:% = fleet.version(),
            layer = layer.unwrap_or(0),
            holders:% = holders.join("; "),
            why:% = reason.as_str();
            "no path"
        );
    }

    pub(super) fn log_path(&self, path: &Path) {
        info!(
            target: "decision",
            request:% = self.inbound.id,
            route:% = self.inbound.route.name,
            config_version = self.inbound.version,
            attempt = self.attempts,
            after_event = self.last_event.unwrap_or(0),
            tokens = self.tokens(),
            crossings = path.crossings,
            path:% = format_path(&path.hops);
            "path chosen"
        );
    }

    pub(super) fn log_end(&self, ending: &'static str, reason: &'static str) {
        let elapsed = self.inbound.arrived.elapsed();
        info!(
            target: "decision",
            request:% = self.inbound.id,
            attempts = self.attempts,
            last_event = self.last_event.unwrap_or(0),
            took_ms = elapsed.as_millis() as u64,
            first_ms = self.timings.first_event.map(|d| d.as_millis() as u64),
            longest_pause_ms = self.timings.longest_pause.as_millis() as u64,
            why:% = reason;
            "stream {ending}"
        );
        self.timings.record();
        let labels = [("how", ending)];
        metrics::counter!("kelpworks_streams_total", &labels).increment(1);
        metrics::histogram!("kelpworks_stream_seconds").record(elapsed.as_secs_f64());
    }
}

/// Formats a path for the log as `address=from-to` parts, separated by commas.
pub(super) fn format_path(path: &[Hop]) -> String {
    let part = |h: &Hop| format!("{}={}-{}", h.address, h.layers.from, h.layers.to);
    let parts: Vec<String> = path.iter().map(part).collect();
    parts.join(",")
}
