//! Finds which child process holds the other end of a loopback connection.

use std::fs;
use std::net::IpAddr;
use std::net::SocketAddr;

/// Table of the kernel's TCP sockets.
const TCP_TABLE: &str = "/proc/net/tcp";

/// Column with the local address in the table.
const LOCAL_COLUMN: usize = 1;
/// Column with the inode in the table.
const INODE_COLUMN: usize = 9;

/// Returns which of `pids` holds the socket whose own address is `local`.
#[must_use]
pub fn find(local: SocketAddr, pids: &[u32]) -> Option<u32> {
    let inode = inode_of(local)?;
    let link = format!("socket:[{inode}]");
    pids.iter().copied().find(|pid| holds(*pid, &link))
}

/// Returns the inode of the socket with a local address.
fn inode_of(local: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = local.ip() else {
        return None;
    };
    let ip = u32::from_le_bytes(ip.octets());
    let wanted = format!("{ip:08X}:{:04X}", local.port());
    let table = fs::read_to_string(TCP_TABLE).ok()?;
    let line = table.lines().find(|line| {
        let column = line.split_whitespace().nth(LOCAL_COLUMN);
        column == Some(&*wanted)
    })?;
    line.split_whitespace().nth(INODE_COLUMN).map(str::to_owned)
}

/// Whether a process has a file descriptor with this link text.
fn holds(pid: u32, link: &str) -> bool {
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    entries
        .flatten()
        .any(|entry| fs::read_link(entry.path()).is_ok_and(|target| target.as_os_str() == link))
}
