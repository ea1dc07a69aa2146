//! Links between daemons and upstreams that can be cut for chosen daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

/// How the links of a daemon to all upstreams behave. New connections are reset in each of the
/// faulty states, since a listener can't leave the connection attempts of one process unanswered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LinksOf {
    /// They work.
    #[default]
    Sound,
    /// Existing connections are reset.
    Reset,
    /// Existing connections carry nothing more.
    Silent,
    /// Existing connections work.
    RefuseNew,
}

/// Number of times that the owner of a connection is looked up before it counts as unknown: it may
/// have been closed already, and the operating system's table is read piece by piece.
const OWNER_LOOKUPS: u32 = 3;
const OWNER_LOOKUP_INTERVAL: Duration = Duration::from_millis(2);

/// State of the links of each daemon.
#[derive(Clone, Debug, Default)]
struct States {
    /// By process id.
    by_daemon: HashMap<u32, LinksOf>,
    /// Process ids of the owners of connections, by local port, when a state last changed.
    owners: HashMap<u16, u32>,
}

impl States {
    fn of(&self, daemon: Option<u32>) -> LinksOf {
        let state = daemon.and_then(|pid| self.by_daemon.get(&pid));
        state.copied().unwrap_or_default()
    }

    fn is_any_cut(&self) -> bool {
        self.by_daemon.values().any(|&s| s != LinksOf::Sound)
    }
}

/// Links in front of the upstreams of a site.
#[derive(Debug)]
pub(crate) struct Links {
    states: Arc<watch::Sender<States>>,
    tasks: Vec<AbortOnDropHandle<()>>,
}

impl Default for Links {
    fn default() -> Links {
        Links {
            states: Arc::new(watch::Sender::new(States::default())),
            tasks: Vec::new(),
        }
    }
}

impl Links {
    /// Starts a link to an upstream and returns its address.
    pub(crate) async fn spawn(&mut self, target: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let states = Arc::clone(&self.states);
        let task = tokio::spawn(accept(listener, target, states));
        self.tasks.push(AbortOnDropHandle::new(task));
        address
    }

    /// Changes the links of a daemon to all upstreams.
    pub(crate) fn set(&self, pid: u32, state: LinksOf) {
        let mut pids: Vec<u32> = self.states.borrow().by_daemon.keys().copied().collect();
        pids.push(pid);
        let owners = owners_of_ports(&pids);
        self.states.send_modify(|states| {
            states.by_daemon.insert(pid, state);
            states.owners = owners;
        });
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, states: Arc<watch::Sender<States>>) {
    loop {
        let Ok((inbound, from)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(forward(inbound, from, target, states.subscribe()));
    }
}

async fn forward(
    mut inbound: TcpStream,
    from: SocketAddr,
    target: SocketAddr,
    mut states: watch::Receiver<States>,
) {
    let is_any_cut = states.borrow().is_any_cut();
    let owner = match is_any_cut {
        true => find_owner(&states, from.port()).await,
        false => None,
    };
    let state_of = |states: &States| states.of(owner.or(states.owners.get(&from.port()).copied()));
    if state_of(&states.borrow_and_update()) != LinksOf::Sound {
        return reset(&inbound);
    }
    let Ok(mut outbound) = TcpStream::connect(target).await else {
        return reset(&inbound);
    };
    let is_cut = |states: &States| {
        let state = state_of(states);
        state == LinksOf::Reset || state == LinksOf::Silent
    };
    let state = tokio::select! {
        _ = copy_bidirectional(&mut inbound, &mut outbound) => return,
        changed = states.wait_for(is_cut) => changed.map_or(LinksOf::Reset, |s| state_of(&s)),
    };
    if state == LinksOf::Silent {
        let is_sound = |states: &States| state_of(states) == LinksOf::Sound;
        let _ = states.wait_for(is_sound).await;
    }
    reset(&inbound);
}

/// Returns which of the daemons has the socket with this local port.
async fn find_owner(states: &watch::Receiver<States>, port: u16) -> Option<u32> {
    for _ in 0..OWNER_LOOKUPS {
        let pids: Vec<u32> = states.borrow().by_daemon.keys().copied().collect();
        let owners = tokio::task::spawn_blocking(move || owners_of_ports(&pids)).await;
        let owner = owners.ok().and_then(|o| o.get(&port).copied());
        if owner.is_some() {
            return owner;
        }
        tokio::time::sleep(OWNER_LOOKUP_INTERVAL).await;
    }
    None
}

/// Makes the connection end with a reset when it is dropped.
fn reset(connection: &TcpStream) {
    let _ = SockRef::from(connection).set_linger(Some(Duration::ZERO));
}

/// Returns the owners of sockets on the loopback interface, by local port.
fn owners_of_ports(pids: &[u32]) -> HashMap<u16, u32> {
    let mut owners: HashMap<String, u32> = HashMap::new();
    for &pid in pids {
        let files = std::fs::read_dir(format!("/proc/{pid}/fd"));
        let files = files.into_iter().flatten().flatten();
        for link in files.filter_map(|f| std::fs::read_link(f.path()).ok()) {
            let name = link.to_string_lossy();
            let inode = name
                .strip_prefix("socket:[")
                .and_then(|n| n.strip_suffix(']'));
            owners.extend(inode.map(|inode| (inode.to_owned(), pid)));
        }
    }
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let owner_of_line = |line: &str| {
        let mut fields = line.split_whitespace();
        let (_, port) = fields.nth(1)?.split_once(':')?;
        let inode = fields.nth(7)?;
        let port = u16::from_str_radix(port, 16).ok()?;
        Some((port, *owners.get(inode)?))
    };
    table.lines().filter_map(owner_of_line).collect()
}
