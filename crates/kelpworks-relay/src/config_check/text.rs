//! Findings as text, one line each.

use std::fmt;

use super::Change;
use super::Finding;
use super::FindingKind;
use super::Location;
use super::Setting;
use super::Severity;
use super::Share;
use super::Value;

/// A text from the configuration, with control characters escaped so that it stays on one line.
struct OneLine<'a>(&'a str);

impl fmt::Display for OneLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for c in self.0.chars() {
            match c.is_control() {
                true => write!(f, "{}", c.escape_default())?,
                false => write!(f, "{c}")?,
            }
        }
        Ok(())
    }
}

/// Numbers of keys: `key 2` or `keys 2, 3`.
struct Keys<'a>(&'a [usize]);

impl fmt::Display for Keys<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0.len() == 1 { "key " } else { "keys " })?;
        for (i, number) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { ", " };
            write!(f, "{separator}{number}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
            Severity::Note => "note",
        })
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Location::Configuration => f.write_str("configuration"),
            Location::Position { line, column } => write!(f, "line {line}, column {column}"),
            Location::Route(name) => write!(f, "route `{}`", OneLine(name)),
            Location::Requests { host, prefix } => {
                write!(f, "requests to `{}{}`", OneLine(host), OneLine(prefix))
            }
            Location::Service(name) => write!(f, "service `{}`", OneLine(name)),
            Location::Team(name) => write!(f, "team `{}`", OneLine(name)),
            Location::Limits => f.write_str("limits on callers"),
        }
    }
}

impl fmt::Display for Setting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Setting::Kind => "kind",
            Setting::Shares => "shares of services",
            Setting::Timeout => "timeout",
            Setting::LatencyTarget => "latency target",
            Setting::GapTarget => "gap target",
            Setting::Attempts => "maximum number of attempts",
            Setting::Priority => "priority",
            Setting::Anonymous => "access without a key",
            Setting::Connections => "maximum number of connections",
            Setting::HeadSize => "maximum head size",
            Setting::BodySize => "maximum body size",
            Setting::HeadTimeout => "head timeout",
            Setting::IdleTimeout => "idle timeout",
        })
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Ms(ms) => write!(f, "{ms} ms"),
            Value::Bytes(bytes) => write!(f, "{bytes} bytes"),
            Value::Number(number) => write!(f, "{number}"),
            Value::Flag(true) => f.write_str("yes"),
            Value::Flag(false) => f.write_str("no"),
            Value::Kind(kind) => f.write_str(kind),
            Value::Shares(shares) => write_shares(f, shares),
            Value::Absent => f.write_str("none"),
        }
    }
}

fn write_shares(f: &mut fmt::Formatter<'_>, shares: &[Share]) -> fmt::Result {
    for (i, Share { service, weight }) in shares.iter().enumerate() {
        let separator = if i == 0 { "" } else { ", " };
        write!(f, "{separator}`{}` {weight}", OneLine(service))?;
    }
    Ok(())
}

impl fmt::Display for FindingKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FindingKind::Invalid { reason } => write!(f, "{}", OneLine(reason)),
            FindingKind::NoVersion => {
                f.write_str("version is 0, which daemons take for no configuration")
            }
            FindingKind::VersionNotGreater { version, in_force } => write!(
                f,
                "version {version} is not greater than {in_force}, which is in force: daemons ignore it"
            ),
            FindingKind::HiddenRoute { by } => write!(
                f,
                "gets no requests: route `{}` has the same host and prefix",
                OneLine(by)
            ),
            FindingKind::UnmatchableHost { host } => write!(
                f,
                "gets no requests: no request has the host `{}` (a name without port, printable ASCII)",
                OneLine(host)
            ),
            FindingKind::UnmatchablePrefix { prefix } => write!(
                f,
                "gets no requests: no path begins with `{}` (a slash first, no query)",
                OneLine(prefix)
            ),
            FindingKind::ZeroWeight { service } => write!(
                f,
                "target `{}` gets no requests: its weight is 0",
                OneLine(service)
            ),
            FindingKind::ZeroWeights { service } => write!(
                f,
                "all weights are 0: `{}` gets all requests",
                OneLine(service)
            ),
            FindingKind::UnusedService => f.write_str("no route names it"),
            FindingKind::NoTime => f.write_str("timeout is 0: all requests fail"),
            FindingKind::NoAttempts => f.write_str("permits 0 attempts: daemons make 1"),
            FindingKind::OverTimeout {
                setting,
                ms,
                timeout_ms,
            } => write!(
                f,
                "{setting} of {ms} ms is over the timeout of {timeout_ms} ms"
            ),
            FindingKind::HeadLimitOverBodyLimit {
                head_bytes,
                body_bytes,
            } => write!(
                f,
                "maximum head size of {head_bytes} bytes is over the maximum body size of {body_bytes} bytes"
            ),
            FindingKind::IdleTimeoutUnderHeadTimeout { idle_ms, head_ms } => write!(
                f,
                "idle timeout of {idle_ms} ms is under the head timeout of {head_ms} ms"
            ),
            FindingKind::DuplicateName { first, other } => {
                write!(f, "numbers {first} and {other} of the list have this name")
            }
            FindingKind::DuplicateKey {
                key,
                team,
                key_there,
            } => write!(
                f,
                "key {key} has no effect: it is key {key_there} of team `{}` too, which gets its requests",
                OneLine(team)
            ),
            FindingKind::KeysRevoked { keys } => {
                write!(f, "revoked: {} of the list in force", Keys(keys))
            }
            FindingKind::KeysAdded { keys } => write!(f, "added: {} of the new list", Keys(keys)),
            FindingKind::KeysMoved { keys, to } => write!(
                f,
                "moved to team `{}`: {} of the list in force",
                OneLine(to),
                Keys(keys)
            ),
            FindingKind::KeysRequired => {
                f.write_str("requests need a key from now on: there were no teams")
            }
            FindingKind::KeysNotRequired => {
                f.write_str("requests need no key any more: there are no teams")
            }
            FindingKind::Changed { setting, old, new } => {
                write!(f, "{setting} changed from {old} to {new}")
            }
            FindingKind::EngineProfile { change } => f.write_str(match change {
                Change::Added => "engine profile added",
                Change::Removed => "engine profile removed",
                Change::Replaced => "engine profile changed",
            }),
            FindingKind::RouteAdded { route } => {
                write!(f, "served from now on, by route `{}`", OneLine(route))
            }
            FindingKind::RouteRemoved { route, served_by } => {
                write!(f, "route `{}` is removed: ", OneLine(route))?;
                match served_by {
                    Some(name) => write!(f, "served from now on by route `{}`", OneLine(name)),
                    None => f.write_str("refused from now on"),
                }
            }
            FindingKind::Added => f.write_str("added"),
            FindingKind::Removed => f.write_str("removed"),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.severity, self.location, self.kind)
    }
}
