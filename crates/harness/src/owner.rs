//! Finds the process that owns a TCP connection, from the files under `/proc`.

use std::{fs, net::SocketAddr};

/// The process among `pids` that owns the socket from `local` to `remote`.
pub fn owner_of(local: SocketAddr, remote: SocketAddr, pids: &[u32]) -> Option<u32> {
    let link = format!("socket:[{}]", inode_of(local, remote)?);
    pids.iter().copied().find(|pid| has_socket(*pid, &link))
}

/// The inode of an IPv4 TCP socket.
fn inode_of(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let (local, remote) = (hex(local)?, hex(remote)?);
    let rows = table.lines().map(|it| it.split_whitespace().collect::<Vec<_>>());
    let mut rows = rows.filter(|it| it.get(1) == Some(&local.as_str()));
    let row = rows.find(|it| it.get(2) == Some(&remote.as_str()))?;
    row.get(9).map(|it| (*it).to_owned())
}

/// An address in the notation of `/proc/net/tcp`.
fn hex(addr: SocketAddr) -> Option<String> {
    let SocketAddr::V4(addr) = addr else {
        return None;
    };
    let ip = u32::from_ne_bytes(addr.ip().octets());
    Some(format!("{ip:08X}:{:04X}", addr.port()))
}

fn has_socket(pid: u32, link: &str) -> bool {
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    let mut targets = entries.filter_map(|it| fs::read_link(it.ok()?.path()).ok());
    targets.any(|it| it.as_os_str() == link)
}
