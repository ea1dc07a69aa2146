//! Calls of plain services: `/services/{name}/...`.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::async_trait;
use salvo::http::HeaderMap;
use salvo::http::HeaderName;
use salvo::http::Method;
use salvo::http::StatusCode;
use salvo::http::header;
use tokio::time::Instant;

use crate::border::engine::Error;
use crate::entry::Entry;
use crate::entry::auth;
use crate::entry::completions::body;
use crate::entry::completions::request_id;
use crate::entry::reply::Failure;
use crate::fleet::Fleet;
use crate::fleet::UpstreamKey;
use crate::routing::choose_service;
use crate::upstreams::Report;
use crate::verdict::Verdict;

/// The result of this module.
type Result<T> = std::result::Result<T, Failure>;

/// Most upstreams tried for one call.
const MAX_TRIES: usize = 3;
/// Headers of a request that go on to the service.
const FORWARDED: [HeaderName; 4] = [
    header::CONTENT_TYPE,
    header::ACCEPT,
    header::IF_MATCH,
    header::IF_NONE_MATCH,
];
/// Headers of an answer that go back to the caller.
const RETURNED: [HeaderName; 5] = [
    header::CONTENT_TYPE,
    header::ETAG,
    header::LOCATION,
    header::CACHE_CONTROL,
    header::RETRY_AFTER,
];

/// Handler of calls of plain services.
pub(crate) struct Services {
    entry: Arc<Entry>,
}

/// One call.
struct Call {
    id: String,
    team: String,
    service: String,
    method: Method,
    /// Path and query below the service, starting with `/`.
    path: String,
    headers: HeaderMap,
    body: Bytes,
    /// Whether it may be sent again after it may have run.
    repeatable: bool,
    deadline: Instant,
}

/// What an upstream answered.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Services {
    pub(crate) fn new(entry: Arc<Entry>) -> Services {
        Services { entry }
    }

    async fn serve(&self, id: &str, req: &mut Request, res: &mut Response) -> Result<()> {
        if self.entry.is_closed() {
            return Err(Failure::draining());
        }
        let call = self.read(id, req).await?;
        let answer = self.run(&call).await?;
        res.status_code(answer.status);
        if answer.status.is_server_error() {
            let verdict = Verdict::MayHaveRun.as_str();
            let _ = res.add_header(Verdict::HEADER, verdict, true);
        }
        for name in RETURNED {
            if let Some(value) = answer.headers.get(&name) {
                res.headers_mut().insert(name, value.clone());
            }
        }
        res.body(answer.body);
        Ok(())
    }

    async fn read(&self, id: &str, req: &mut Request) -> Result<Call> {
        let config = self.entry.config.load_full();
        let caller = auth::caller(&config, req.headers())?;
        let service: String = req.param("name").unwrap_or_default();
        let path = below(req.uri().path(), &service);
        let query = req.uri().query().map_or(String::new(), |q| format!("?{q}"));
        let method = req.method().clone();
        let non_idempotent = config.call_is_non_idempotent(&service, method.as_str(), &path);
        let repeatable = method.is_idempotent() && !non_idempotent;
        let headers = pick(req.headers(), &FORWARDED);
        let body = Bytes::copy_from_slice(body(req, self.entry.limits.body_bytes).await?);
        Ok(Call {
            id: id.to_owned(),
            team: caller.team,
            service,
            method,
            path: path + &query,
            headers,
            body,
            repeatable,
            deadline: Instant::now() + self.entry.request_timeout,
        })
    }

    /// Sends the call to an upstream of the service, and to another where that is safe.
    async fn run(&self, call: &Call) -> Result<Answer> {
        let mut tried = Vec::new();
        let mut verdict = Verdict::NotRun;
        loop {
            let fleet = self.entry.fleet.load_full();
            let Some(key) = self.choose(&fleet, call, &tried)? else {
                let message = "no upstream of the service answered";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return Err(Failure::failed(status, "no_upstream", message, verdict));
            };
            tried.push(key);
            match self.send(&fleet, key, call).await {
                Ok(answer) => return Ok(answer),
                Err(e) => {
                    verdict = verdict.max(e.verdict());
                    let _ = self.entry.reports.send(Report::Suspect(key));
                    let again = call.repeatable || verdict == Verdict::NotRun;
                    if !again || tried.len() == MAX_TRIES {
                        let status = StatusCode::BAD_GATEWAY;
                        let message = e.to_string();
                        return Err(Failure::failed(status, "upstream_failed", message, verdict));
                    }
                }
            }
        }
    }

    fn choose(
        &self,
        fleet: &Fleet,
        call: &Call,
        tried: &[UpstreamKey],
    ) -> Result<Option<UpstreamKey>> {
        let Some(keys) = fleet.by_service.get(&call.service) else {
            let message = format!("there is no service {:?}", call.service);
            return Err(Failure::bad(
                StatusCode::NOT_FOUND,
                "unknown_service",
                message,
            ));
        };
        let now = self.entry.driver.now_ms();
        let chosen = choose_service(fleet, &call.service, tried, now, &mut rand::rng());
        let Some(key) = chosen.ok().filter(|k| !tried.contains(k)) else {
            return Ok(None);
        };
        info!(
            target: "decision", decision = "service", request = call.id.as_str(),
            team = call.team.as_str(), service = call.service.as_str(),
            candidates = keys.len(), choice = &*fleet.upstreams[key].name,
            reason = "fewest in flight of two";
            "upstream chosen"
        );
        Ok(Some(key))
    }

    async fn send(
        &self,
        fleet: &Fleet,
        key: UpstreamKey,
        call: &Call,
    ) -> std::result::Result<Answer, Error> {
        let upstream = &fleet.upstreams[key];
        let client = self.entry.engine.client(&upstream.url);
        let left = call.deadline.saturating_duration_since(Instant::now());
        let req = client
            .request(
                call.method.clone(),
                format!("{}{}", upstream.url, call.path),
            )
            .headers(call.headers.clone())
            .timeout(left.max(Duration::from_millis(1)))
            .body(call.body.clone());
        upstream.counters.in_flight.fetch_add(1, Ordering::Relaxed);
        let answer = read(req).await;
        upstream.counters.in_flight.fetch_sub(1, Ordering::Relaxed);
        answer
    }
}

async fn read(req: reqwest::RequestBuilder) -> std::result::Result<Answer, Error> {
    let res = req.send().await.map_err(Error::from_reqwest)?;
    let status = res.status();
    let headers = res.headers().clone();
    let body = res.bytes().await.map_err(Error::from_reqwest)?;
    Ok(Answer {
        status,
        headers,
        body,
    })
}

/// Path below `/services/{name}`, starting with `/`.
fn below(path: &str, service: &str) -> String {
    let prefix = format!("/services/{service}");
    let rest = path.strip_prefix(&prefix).unwrap_or("/");
    if rest.is_empty() {
        "/".to_owned()
    } else {
        rest.to_owned()
    }
}

fn pick(headers: &HeaderMap, names: &[HeaderName]) -> HeaderMap {
    let mut picked = HeaderMap::new();
    for name in names {
        if let Some(value) = headers.get(name) {
            picked.insert(name.clone(), value.clone());
        }
    }
    picked
}

#[async_trait]
impl Handler for Services {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let id = request_id();
        if let Err(failure) = self.serve(&id, req, res).await {
            failure.write(&id, res);
        }
    }
}
