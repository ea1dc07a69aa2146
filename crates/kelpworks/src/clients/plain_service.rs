//! Client of plain services: HTTP services that are not model engines.
//!
//! A service must answer `GET /healthz` with 200 while it accepts new work and with 503 while it is
//! leaving. This client retries nothing; its caller decides whether a call may be sent again.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use reqwest::Method;
use reqwest::header::HeaderMap;

use crate::clients::answer;
use crate::clients::engine::Error;
use crate::clients::engine::HttpEngine;
use crate::clients::engine::read_bounded_body;

/// Result of a service call. [`Error::verdict`] says whether the call may have been executed.
pub type Result<T> = std::result::Result<T, Error>;

const HEALTH: &str = "/healthz";

/// A call to send to a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCall<'a> {
    /// HTTP method of the caller's request.
    pub method: &'a Method,
    /// Path and query relative to the service, starting with `/`.
    pub path: &'a str,
    /// Headers to forward to the service.
    pub headers: &'a HeaderMap,
    /// Body of the caller's request, unchanged.
    pub body: &'a Bytes,
}

/// Response of a service, of any status.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// All headers of the response; not all are returned to the caller.
    pub headers: HeaderMap,
    /// The whole body, at most 16 MiB.
    pub body: Bytes,
}

/// Calls that the daemon makes to a plain service. `url` is the base URL of one of its upstreams.
pub trait PlainService: Send + Sync + 'static {
    /// Sends a call once, without retries.
    fn call(
        &self,
        url: &Arc<str>,
        call: ServiceCall<'_>,
        deadline: Duration,
    ) -> impl Future<Output = Result<ServiceAnswer>> + Send;

    /// Returns whether the upstream accepts new work.
    fn health(
        &self,
        url: &Arc<str>,
        deadline: Duration,
    ) -> impl Future<Output = Result<bool>> + Send;

    /// As [`PlainService::health`], over a new connection. If the upstream responds, the pooled
    /// connections to it are replaced, because they may be stalled.
    fn probe_health(
        &self,
        url: &Arc<str>,
        deadline: Duration,
    ) -> impl Future<Output = Result<bool>> + Send;
}

async fn check_health(
    client: &reqwest::Client,
    url: &Arc<str>,
    deadline: Duration,
) -> Result<bool> {
    let req = client.get(format!("{url}{HEALTH}")).timeout(deadline);
    let res = answer::send(req).await.map_err(Error::from_send)?;
    Ok(res.status().is_success())
}

impl PlainService for HttpEngine {
    async fn call(
        &self,
        url: &Arc<str>,
        call: ServiceCall<'_>,
        deadline: Duration,
    ) -> Result<ServiceAnswer> {
        let req = self
            .client(url)
            .request(call.method.clone(), format!("{url}{}", call.path))
            .headers(call.headers.clone())
            .timeout(deadline)
            .body(call.body.clone());
        let res = answer::send(req).await.map_err(Error::from_send)?;
        Ok(ServiceAnswer {
            status: res.status().as_u16(),
            headers: res.headers().clone(),
            body: read_bounded_body(res).await?,
        })
    }

    async fn health(&self, url: &Arc<str>, deadline: Duration) -> Result<bool> {
        check_health(&self.client(url), url, deadline).await
    }

    async fn probe_health(&self, url: &Arc<str>, deadline: Duration) -> Result<bool> {
        let client = self.new_client();
        let takes_work = check_health(&client, url, deadline).await?;
        self.replace(url, client);
        Ok(takes_work)
    }
}
