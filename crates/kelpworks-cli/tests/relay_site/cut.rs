//! Links between daemons and upstreams that can be cut for chosen daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
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

/// Number of times that the owner of a connection is looked up before it counts as unknown.
const OWNER_LOOKUPS: u32 = 10;
const OWNER_LOOKUP_INTERVAL: Duration = Duration::from_millis(2);

/// State of the links of each daemon, by process id.
type States = HashMap<u32, LinksOf>;

/// Links in front of the upstreams of a site.
#[derive(Debug)]
pub(crate) struct Links {
    states: Arc<watch::Sender<States>>,
    tasks: Vec<AbortOnDropHandle<()>>,
}

impl Default for Links {
    fn default() -> Links {
        Links {
            states: Arc::new(watch::Sender::new(States::new())),
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
        self.states.send_modify(|states| {
            states.insert(pid, state);
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
    let owner = find_owner(&states, from).await;
    let state_of = |states: &States| {
        let state = owner.and_then(|pid| states.get(&pid));
        state.copied().unwrap_or_default()
    };
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

/// Returns which of the daemons has the socket with this local address. The tables of the operating
/// system are read piece by piece, so a socket may be missing from them once.
async fn find_owner(states: &watch::Receiver<States>, address: SocketAddr) -> Option<u32> {
    for _ in 0..OWNER_LOOKUPS {
        let pids: Vec<u32> = states.borrow().keys().copied().collect();
        let owner = pids.into_iter().find(|&pid| owns_socket(pid, address));
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

/// Returns whether a process has the socket with this local address.
fn owns_socket(pid: u32, address: SocketAddr) -> bool {
    let Some(inode) = inode_of(address) else {
        return false;
    };
    let name = format!("socket:[{inode}]");
    let Ok(files) = std::fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    let links = files.filter_map(|f| std::fs::read_link(f.ok()?.path()).ok());
    links.into_iter().any(|link| link == Path::new(&name))
}

/// Returns the inode of the socket with this local address on the loopback interface.
fn inode_of(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let mut fields = table.lines().map(|l| l.split_whitespace());
    fields.find_map(|mut f| {
        let is_local = f.nth(1) == Some(&*local);
        is_local.then(|| f.nth(7).map(str::to_owned)).flatten()
    })
}
