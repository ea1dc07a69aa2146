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

use super::sock_diag;

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

/// Number of times that the owner of a connection is looked up before it counts as unknown, since it
/// may have been closed already.
const OWNER_LOOKUPS: u32 = 3;
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

    /// Changes the links of a daemon to all upstreams. A daemon has to be known, with sound links,
    /// before it opens connections.
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
    let owner = find_owner(&inbound, from, &states).await;
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

/// Returns which of the daemons opened a connection that arrived from an address.
async fn find_owner(
    inbound: &TcpStream,
    from: SocketAddr,
    states: &watch::Receiver<States>,
) -> Option<u32> {
    let to = inbound.local_addr().ok()?;
    for _ in 0..OWNER_LOOKUPS {
        let pids: Vec<u32> = states.borrow().keys().copied().collect();
        let inode = sock_diag::inode_of(from, to);
        let owner = inode.and_then(|inode| pids.into_iter().find(|&pid| owns(pid, inode)));
        if owner.is_some() {
            return owner;
        }
        tokio::time::sleep(OWNER_LOOKUP_INTERVAL).await;
    }
    None
}

/// Returns whether a process has the socket with this inode.
fn owns(pid: u32, inode: u32) -> bool {
    let name = format!("socket:[{inode}]");
    let files = std::fs::read_dir(format!("/proc/{pid}/fd"));
    let mut files = files.into_iter().flatten().flatten();
    files.any(|f| std::fs::read_link(f.path()).is_ok_and(|link| link == Path::new(&name)))
}

/// Makes the connection end with a reset when it is dropped.
fn reset(connection: &TcpStream) {
    let _ = SockRef::from(connection).set_linger(Some(Duration::ZERO));
}
