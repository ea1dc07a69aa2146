//! The fake host list, whose changes become visible after a delay.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use salvo::Depot;
use salvo::Request;
use salvo::Router;
use salvo::handler;
use salvo::http::StatusCode;
use tokio::time::Instant;

use crate::error::Result;
use crate::fault::Faults;
use crate::fault::lock;
use crate::server::HttpResponse;
use crate::server::Port;
use crate::server::Server;
use crate::server::read_json;
use crate::server::state;
use kelpworks_wire::HostEntry;
use kelpworks_wire::HostList;
use kelpworks_wire::HostState;

/// Configuration of a fake host list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostListConfig {
    /// Loopback port; 0 takes a free port. Default 0.
    pub port: u16,
    /// Delay until a change is visible in `GET /hosts`. Default 0.
    pub lag: Duration,
    /// Hosts at start, visible at once. Default none.
    pub hosts: Vec<HostEntry>,
}

/// A running fake host list; dropping it stops it.
#[derive(Debug)]
pub struct FakeHostList {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Debug)]
struct Shared {
    lag: Duration,
    /// Lists in order of version; the last whose `visible_at` has passed is served. Never empty.
    lists: Mutex<Vec<ScheduledList>>,
}

#[derive(Debug)]
struct ScheduledList {
    visible_at: Instant,
    list: HostList,
}

impl FakeHostList {
    /// Starts a host list.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound.
    pub async fn spawn(cfg: HostListConfig) -> Result<FakeHostList> {
        let port = Port::bind(cfg.port)?;
        let first = ScheduledList {
            visible_at: Instant::now(),
            list: HostList {
                version: 1,
                hosts: cfg.hosts,
            },
        };
        let shared = Arc::new(Shared {
            lag: cfg.lag,
            lists: Mutex::new(vec![first]),
        });
        let router = Router::new()
            .push(Router::with_path("hosts").get(get_hosts))
            .push(
                Router::with_path("fake/hosts")
                    .get(get_latest_hosts)
                    .post(post_hosts),
            );
        let server = port.serve(Faults::default(), shared.clone(), router)?;
        Ok(FakeHostList { shared, server })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the faults to inject; changes apply to the next request.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Returns the latest hosts, including changes that are not visible yet.
    pub fn hosts(&self) -> Vec<HostEntry> {
        self.shared.latest().hosts
    }

    /// Replaces all hosts.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.shared.change(|all| *all = hosts);
    }

    /// Adds a host, or replaces the one of the same name.
    pub fn set_host(&self, host: HostEntry) {
        self.shared.change(|all| {
            all.retain(|h| h.name != host.name);
            all.push(host);
        });
    }

    /// Sets the state of a host; without effect if there is none of this name.
    pub fn set_state(&self, name: &str, state: HostState) {
        self.shared.change(|all| {
            for host in all.iter_mut().filter(|h| h.name == name) {
                host.state = state;
            }
        });
    }

    /// Removes a host, if there is one of this name.
    pub fn remove(&self, name: &str) {
        self.shared.change(|all| all.retain(|h| h.name != name));
    }

    /// Closes the port and all connections, or opens the port again.
    pub fn set_listening(&self, listening: bool) {
        self.server.listen_switch().set_listening(listening);
    }

    /// Stops the host list, as dropping it does.
    pub fn stop(self) {}
}

impl Shared {
    fn latest(&self) -> HostList {
        let lists = lock(&self.lists);
        lists[lists.len() - 1].list.clone()
    }

    fn change(&self, edit: impl FnOnce(&mut Vec<HostEntry>)) {
        let mut list = self.latest();
        edit(&mut list.hosts);
        list.version += 1;
        let visible_at = Instant::now() + self.lag;
        lock(&self.lists).push(ScheduledList { visible_at, list });
    }

    /// Returns the list that is visible now and drops those before it.
    fn visible(&self) -> HostList {
        let now = Instant::now();
        let mut lists = lock(&self.lists);
        let due = lists.iter().rposition(|d| d.visible_at <= now).unwrap_or(0);
        lists.drain(..due);
        lists[0].list.clone()
    }
}

#[handler]
async fn get_hosts(depot: &mut Depot) -> HttpResponse {
    HttpResponse::json(&state::<Arc<Shared>>(depot).visible())
}

#[handler]
async fn get_latest_hosts(depot: &mut Depot) -> HttpResponse {
    HttpResponse::json(&state::<Arc<Shared>>(depot).latest())
}

#[handler]
async fn post_hosts(
    req: &mut Request,
    depot: &mut Depot,
) -> std::result::Result<HttpResponse, HttpResponse> {
    let hosts: Vec<HostEntry> = read_json(req).await?;
    state::<Arc<Shared>>(depot).change(|all| *all = hosts);
    Ok(HttpResponse::empty(StatusCode::NO_CONTENT))
}
