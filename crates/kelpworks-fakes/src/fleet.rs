//! A fleet of fakes: engines, plain services, object API, host list and weight store.
//!
//! ```
//! use kelpworks_fakes::FleetConfig;
//! use kelpworks_fakes::Model;
//! use kelpworks_fakes::FakeFleet;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> kelpworks_fakes::Result<()> {
//! let model = Model::new("caption", "1", 12);
//! let fleet = FakeFleet::spawn(FleetConfig::pipeline(&model, 3, 2)).await?;
//! assert_eq!(fleet.view().engines.len(), 6);
//! # Ok(())
//! # }
//! ```

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::engine::Engine;
use crate::engine::EngineConfig;
use crate::engine::Run;
use crate::error::Error;
use crate::error::Result;
use crate::host_list::FakeHostList;
use crate::host_list::HostListConfig;
use crate::model::Model;
use crate::object_api::ObjectApi;
use crate::object_api::ObjectApiConfig;
use crate::plain_service::PlainService;
use crate::plain_service::PlainServiceConfig;
use crate::weight_store::WeightStore;
use crate::weight_store::WeightStoreConfig;
use kelpworks_wire::HostEntry;
use kelpworks_wire::HostState;
use kelpworks_wire::LoadedRange;

/// Configuration of a [`FakeFleet`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Engines to start. Default none.
    pub engines: Vec<EngineConfig>,
    /// Plain services to start. Default none.
    pub services: Vec<PlainServiceConfig>,
    /// The host list. Hosts of the engines and services are added to its own. Default: no own hosts.
    pub hosts: HostListConfig,
    /// The object API.
    pub object_api: ObjectApiConfig,
    /// The weight store, used by engines that name none.
    pub weight_store: WeightStoreConfig,
}

impl FleetConfig {
    /// Returns a pipeline over `model`: `stages` layer ranges of about equal length, each with
    /// `replicas` engines in different failure domains, and a plain service `jobs` on two hosts.
    ///
    /// # Panics
    ///
    /// When `stages` or `replicas` is 0, or there are more stages than layers.
    pub fn pipeline(model: &Model, stages: u32, replicas: u32) -> FleetConfig {
        assert!(
            stages > 0 && replicas > 0,
            "a pipeline needs at least one stage and one replica"
        );
        assert!(
            stages <= model.layers(),
            "each stage needs at least one layer"
        );
        let mut fleet = FleetConfig::default();
        for stage in 0..stages {
            let first = stage * model.layers() / stages;
            let end = (stage + 1) * model.layers() / stages;
            for replica in 0..replicas {
                let name = format!("engine-{stage}-{replica}");
                let mut cfg = EngineConfig::new(&name, vec![model.clone()]);
                cfg.failure_domain = format!("domain-{replica}");
                cfg.load(model.name(), first..end);
                fleet.engines.push(cfg);
            }
        }
        for replica in 0..2 {
            let mut cfg = PlainServiceConfig::new(&format!("jobs-{replica}"), "jobs");
            cfg.failure_domain = format!("domain-{replica}");
            fleet.services.push(cfg);
        }
        fleet
    }
}

/// A running fleet of fakes; dropping it stops all of them.
#[derive(Debug)]
pub struct FakeFleet {
    /// The object API.
    pub object_api: ObjectApi,
    /// The host list.
    pub host_list: FakeHostList,
    /// The weight store.
    pub weight_store: WeightStore,
    /// Engines, in the order of the configuration.
    pub engines: Vec<Engine>,
    /// Plain services, in the order of the configuration.
    pub services: Vec<PlainService>,
}

/// Addresses and properties of a fleet, as registers and settings need them.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FleetView {
    /// Base URL of the object API.
    pub object_api: String,
    /// Base URL of the host list.
    pub host_list: String,
    /// Base URL of the weight store.
    pub weight_store: String,
    /// Engines, in the order of the configuration.
    pub engines: Vec<EngineView>,
    /// Plain services, in the order of the configuration.
    pub services: Vec<ServiceView>,
}

/// An engine of a [`FleetView`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineView {
    /// Host name.
    pub name: String,
    /// Base URL.
    pub url: String,
    /// Listen address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Kind of accelerator.
    pub accelerator: String,
    /// Layer-positions run a second; unlimited if absent.
    pub layer_rate: Option<f64>,
    /// Whether orders with a stale fencing token are refused.
    pub checks_fencing: bool,
    /// Names of the models that the engine can load.
    pub models: Vec<String>,
    /// Layer ranges loaded at the time of the view.
    pub loaded: Vec<LoadedRange>,
}

/// A plain service of a [`FleetView`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceView {
    /// Host name.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Base URL.
    pub url: String,
    /// Listen address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
}

impl FakeFleet {
    /// Starts all fakes of a fleet.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound, or an engine is configured with a range outside its models.
    pub async fn spawn(cfg: FleetConfig) -> Result<FakeFleet> {
        let weight_store = WeightStore::spawn(cfg.weight_store).await?;
        let mut engines = Vec::new();
        for mut engine in cfg.engines {
            engine
                .weight_store
                .get_or_insert_with(|| weight_store.url());
            engines.push(Engine::spawn(engine).await?);
        }
        let mut services = Vec::new();
        for service in cfg.services {
            services.push(PlainService::spawn(service).await?);
        }
        let mut hosts = cfg.hosts;
        hosts.hosts.extend(engines.iter().map(|e| {
            let domain = &e.config().failure_domain;
            live_host(e.name(), e.addr(), domain)
        }));
        hosts.hosts.extend(services.iter().map(|s| {
            let PlainServiceConfig {
                name,
                failure_domain,
                ..
            } = s.config();
            live_host(name, s.addr(), failure_domain)
        }));
        Ok(FakeFleet {
            object_api: ObjectApi::spawn(cfg.object_api).await?,
            host_list: FakeHostList::spawn(hosts).await?,
            weight_store,
            engines,
            services,
        })
    }

    /// Returns the addresses and properties of the running fakes.
    pub fn view(&self) -> FleetView {
        FleetView {
            object_api: self.object_api.url(),
            host_list: self.host_list.url(),
            weight_store: self.weight_store.url(),
            engines: self.engines.iter().map(EngineView::of).collect(),
            services: self.services.iter().map(ServiceView::of).collect(),
        }
    }

    /// Returns the engine of this name.
    ///
    /// # Errors
    ///
    /// When there is none.
    pub fn engine(&self, name: &str) -> Result<&Engine> {
        let found = self.engines.iter().find(|e| e.name() == name);
        found.ok_or_else(|| Error::Config(format!("no engine `{name}`")))
    }

    /// Returns all recorded runs of a session, engine by engine.
    pub fn runs_of(&self, session: &str) -> Vec<Run> {
        let ledgers = self.engines.iter().map(Engine::ledger);
        ledgers.flat_map(|l| l.runs_of(session)).collect()
    }
}

impl EngineView {
    /// Returns the view of a running engine.
    pub fn of(engine: &Engine) -> EngineView {
        let cfg = engine.config();
        EngineView {
            name: cfg.name.clone(),
            url: engine.url(),
            address: engine.addr(),
            failure_domain: cfg.failure_domain.clone(),
            accelerator: cfg.accelerator.clone(),
            layer_rate: Some(cfg.layer_rate).filter(|r| r.is_finite()),
            checks_fencing: cfg.checks_fencing,
            models: cfg.models.iter().map(|m| m.name().to_owned()).collect(),
            loaded: engine.state().loaded,
        }
    }
}

impl ServiceView {
    /// Returns the view of a running plain service.
    pub fn of(service: &PlainService) -> ServiceView {
        let cfg = service.config();
        ServiceView {
            name: cfg.name.clone(),
            service: cfg.service.clone(),
            url: service.url(),
            address: service.addr(),
            failure_domain: cfg.failure_domain.clone(),
        }
    }
}

fn live_host(name: &str, addr: SocketAddr, failure_domain: &str) -> HostEntry {
    HostEntry {
        name: name.to_owned(),
        address: addr.to_string(),
        failure_domain: failure_domain.to_owned(),
        state: HostState::Live,
    }
}
