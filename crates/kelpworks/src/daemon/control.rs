//! Background tasks of a daemon, off the request path: they track the configuration, the platform
//! and the peers.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::active_config::ActiveConfig;
use crate::admission::Admission;
use crate::clients::host_list;
use crate::clients::host_list::HttpHostList;
use crate::clients::object_api;
use crate::clients::object_api::HttpObjectApi;
use crate::clients::object_api::ObjectApi;
use crate::daemon::Result;
use crate::daemon::config_follower::ConfigFollower;
use crate::daemon::head_watch::HeadWatch;
use crate::daemon::host_watch::HostWatch;
use crate::membership::Directory;
use crate::membership::Peers;
use crate::membership::PeersConfig;
use crate::membership::RequestFacts;
use crate::membership::TrialShare;
use crate::membership::UpstreamFacts;
use crate::operators;
use crate::quarantine::Quarantine;
use crate::register::Register;
use crate::settings::Settings;
use crate::upstreams::UpstreamMonitor;
use kelpworks_coord::id::Version;

/// Timeout for the background tasks to end at a planned stop.
const TASK_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// State that the background tasks share with the request path.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) config: Arc<ArcSwap<ActiveConfig>>,
    pub(crate) register: watch::Sender<Arc<Register>>,
    pub(crate) upstream_monitor: UpstreamMonitor,
    pub(crate) admission: Admission,
    pub(crate) quarantine: Arc<Quarantine>,
}

/// Handle to the running background tasks.
#[derive(Debug)]
pub(crate) struct Control {
    pub(crate) peers: Peers,
    /// Version of the last list or watch of configuration heads; `None` before the first.
    read: watch::Receiver<Option<Version>>,
    api: Arc<HttpObjectApi>,
    tasks: TaskTracker,
    pub(crate) stop: CancellationToken,
}

impl Control {
    /// Starts all background tasks.
    ///
    /// # Errors
    ///
    /// When the peers' address can't be listened on or a URL of the platform can't be used.
    pub(crate) async fn start(settings: &Settings, shared: Shared) -> Result<Control> {
        let stop = CancellationToken::new();
        let deadlines = object_api::Deadlines::default();
        let api = HttpObjectApi::new(&settings.platform.object_api, deadlines)?;
        let deadlines = host_list::Deadlines::default();
        let host_list = HttpHostList::new(&settings.platform.host_list, deadlines)?;
        let (peers, from_peers) = Peers::start(peers_config(settings), stop.child_token()).await?;
        let (read, last_read) = watch::channel(None);
        let control = Control {
            peers,
            read: last_read,
            api: Arc::new(api),
            tasks: TaskTracker::new(),
            stop,
        };
        control.follow_hosts(settings, host_list, &shared);
        control.exchange_facts(&shared);
        control.follow_config(settings, shared, from_peers, read);
        Ok(control)
    }

    /// Starts the tasks that track the configuration, limit trial demand to this daemon's share,
    /// and monitor the upstreams.
    fn follow_config(
        &self,
        settings: &Settings,
        shared: Shared,
        from_peers: mpsc::UnboundedReceiver<crate::membership::ReceivedHead>,
        read: watch::Sender<Option<Version>>,
    ) {
        let (heads, from_api) = mpsc::unbounded_channel();
        let watch = HeadWatch {
            api: Arc::clone(&self.api),
            chosen: self.peers.watcher(),
            heads,
            read,
            wait: settings.timing.watch.0,
        };
        let trials = TrialShare {
            peers: self.peers.clone(),
            admission: shared.admission,
            config: Arc::clone(&shared.config),
            register: shared.register.subscribe(),
        };
        let follower = ConfigFollower {
            api: Arc::clone(&self.api),
            peers: self.peers.clone(),
            from_api,
            from_peers,
            config: shared.config,
            register: shared.register,
            texts: Vec::new(),
            newest: None,
        };
        self.tasks.spawn(watch.run(self.stop.clone()));
        self.tasks.spawn(trials.run(self.stop.clone()));
        self.tasks.spawn(follower.run(self.stop.clone()));
        self.tasks
            .spawn(shared.upstream_monitor.run(self.stop.clone()));
    }

    /// Returns the view of the object API for the operators' endpoints.
    pub(crate) fn object_api(&self) -> operators::ObjectApiView {
        operators::ObjectApiView {
            eras: self.api.eras().clone(),
            read: self.read.clone(),
        }
    }

    /// Starts the tasks that poll the host list and discover the other daemons.
    fn follow_hosts(&self, settings: &Settings, host_list: HttpHostList, shared: &Shared) {
        let (addresses, hosts) = watch::channel(Vec::new());
        let watch = HostWatch {
            api: host_list,
            reports: shared.upstream_monitor.reports(),
            interval: settings.timing.host_list_poll.0,
            addresses,
        };
        let directory = Directory {
            api: Arc::clone(&self.api),
            peers: self.peers.clone(),
            hosts,
        };
        self.tasks.spawn(watch.run(self.stop.clone()));
        self.tasks.spawn(directory.run(self.stop.clone()));
    }

    /// Starts the tasks that exchange facts about upstreams and about requests with the peers.
    fn exchange_facts(&self, shared: &Shared) {
        let facts = UpstreamFacts {
            peers: self.peers.clone(),
            observed: shared.upstream_monitor.observed(),
            reports: shared.upstream_monitor.reports(),
        };
        let requests = RequestFacts::new(self.peers.clone(), Arc::clone(&shared.quarantine));
        self.tasks.spawn(facts.run(self.stop.clone()));
        self.tasks.spawn(requests.run(self.stop.clone()));
    }

    /// Announces the departure to peers, removes this daemon from the directory and ends all tasks.
    pub(crate) async fn leave(&self) {
        self.peers.leave().await;
        Directory::withdraw(&*self.api, &self.peers).await;
        self.stop.cancel();
        self.tasks.close();
        let _ = tokio::time::timeout(TASK_SHUTDOWN_TIMEOUT, self.tasks.wait()).await;
    }

    /// Ends all tasks at once, without notice to peers.
    pub(crate) fn abort(&self) {
        self.peers.close();
        self.stop.cancel();
    }
}

fn peers_config(settings: &Settings) -> PeersConfig {
    PeersConfig {
        name: settings.name.clone(),
        failure_domain: settings.failure_domain.clone(),
        listen: settings.listen.peers,
        advertise: None,
        heartbeat: settings.timing.heartbeat.0,
    }
}
