//! Asks the operating system for a socket of another process, by `sock_diag(7)`. The table in
//! `/proc/net/tcp` has the same, but reading it takes milliseconds for each thousand connections.

use std::io::Read;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;

/// `AF_NETLINK`.
const NETLINK: i32 = 16;
/// `NETLINK_SOCK_DIAG`.
const SOCK_DIAG: i32 = 4;
/// `SOCK_DIAG_BY_FAMILY`, the type of the request and of its answer.
const BY_FAMILY: u16 = 20;
/// `NLM_F_REQUEST`.
const REQUEST: u16 = 1;
/// `AF_INET` and `IPPROTO_TCP`.
const IPV4_TCP: [u8; 2] = [2, 6];
/// Bytes of `struct nlmsghdr` followed by `struct inet_diag_req_v2`.
const REQUEST_LEN: usize = 72;
/// Offset of `idiag_inode` in the answer.
const INODE_AT: usize = 84;

/// Returns the inode of the socket that is connected from one address to another; `None` if there
/// is none.
pub(crate) fn inode_of(from: SocketAddr, to: SocketAddr) -> Option<u32> {
    let (SocketAddr::V4(from), SocketAddr::V4(to)) = (from, to) else {
        return None;
    };
    let protocol = Some(Protocol::from(SOCK_DIAG));
    let mut socket = Socket::new(Domain::from(NETLINK), Type::DGRAM, protocol).ok()?;
    socket.send(&request(from, to)).ok()?;
    let mut answer = [0; 512];
    let len = socket.read(&mut answer).ok()?;
    let is_found = answer[4..6] == BY_FAMILY.to_ne_bytes();
    let inode = answer.get(INODE_AT..INODE_AT + 4).filter(|_| is_found)?;
    let inode = u32::from_ne_bytes(inode.try_into().ok()?);
    (len >= INODE_AT + 4 && inode != 0).then_some(inode)
}

fn request(from: SocketAddrV4, to: SocketAddrV4) -> Vec<u8> {
    let mut req = Vec::with_capacity(REQUEST_LEN);
    req.extend((REQUEST_LEN as u32).to_ne_bytes());
    req.extend(BY_FAMILY.to_ne_bytes());
    req.extend(REQUEST.to_ne_bytes());
    // Sequence number and port id.
    req.extend([0; 8]);
    req.extend(IPV4_TCP);
    // Extensions and padding, then all states.
    req.extend([0; 2]);
    req.extend([0xff; 4]);
    req.extend(from.port().to_be_bytes());
    req.extend(to.port().to_be_bytes());
    for ip in [from.ip(), to.ip()] {
        req.extend(ip.octets());
        req.extend([0; 12]);
    }
    // Any interface, no cookie.
    req.extend([0; 4]);
    req.extend([0xff; 8]);
    req
}
