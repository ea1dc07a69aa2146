//! `kelpworks relay`.

use std::path::Path;

use crate::failure::Result;
use crate::serve::Output;
use crate::serve::start_logger;
use kelpworks::clients::era::Eras;
use kelpworks::clients::object_api::Deadlines;
use kelpworks_platform::EngineClient;
use kelpworks_platform::PlatformAdapter;
use kelpworks_platform::StoreClient;
use kelpworks_relay::daemon;
use kelpworks_relay::daemon::Clients;
use kelpworks_relay::daemon::Signals;
use kelpworks_relay::settings::Settings;

/// Runs a relaying daemon until it is stopped.
///
/// Uses one thread: the hosts of relaying daemons have one core, where a second thread only adds
/// context switches.
pub(crate) fn run(file: &Path) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let signals = {
        let _runtime = runtime.enter();
        Signals::new()?
    };
    let settings = Settings::read(file)?;
    let _logger = start_logger(&settings.log.level, Output::Stdout)?;
    let eras = Eras::default();
    let store = || StoreClient::new(settings.store.address, Deadlines::default(), eras.clone());
    let clients = Clients {
        store: store()?,
        lease_store: store()?,
        engine_client: EngineClient::new()?,
    };
    let running = daemon::run::<PlatformAdapter, _, _>(file, settings, clients, signals);
    Ok(runtime.block_on(running)?)
}
