//! Looks up which child process owns the other end of a loopback connection.

use std::collections::HashMap;
use std::fs;

/// The kernel's table of IPv4 TCP sockets.
const TCP_TABLE: &str = "/proc/net/tcp";

/// Column of the local address, counted from 0.
const LOCAL_ADDRESS_COLUMN: usize = 1;
/// Column of the socket's inode, counted from 0.
const INODE_COLUMN: usize = 9;

/// Returns the local port of every IPv4 TCP socket of `pids`, with the process that owns it. Sockets and
/// processes that can't be read are left out.
#[must_use]
pub fn port_owners(pids: &[u32]) -> HashMap<u16, u32> {
    let owners = inode_owners(pids);
    let table = fs::read_to_string(TCP_TABLE).unwrap_or_default();
    let port = |line: &str| {
        let mut columns = line.split_whitespace();
        let (_, port) = columns.nth(LOCAL_ADDRESS_COLUMN)?.split_once(':')?;
        let inode = columns.nth(INODE_COLUMN - LOCAL_ADDRESS_COLUMN - 1)?;
        let pid = owners.get(inode)?;
        Some((u16::from_str_radix(port, 16).ok()?, *pid))
    };
    table.lines().filter_map(port).collect()
}

/// Returns the inode of every socket of `pids`, with the process that owns it.
fn inode_owners(pids: &[u32]) -> HashMap<String, u32> {
    let mut owners = HashMap::new();
    for pid in pids {
        let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else {
            continue;
        };
        for entry in entries.flatten() {
            let Ok(target) = fs::read_link(entry.path()) else {
                continue;
            };
            let text = target.to_string_lossy();
            let inode = text
                .strip_prefix("socket:[")
                .and_then(|text| text.strip_suffix(']'));
            if let Some(inode) = inode {
                owners.insert(inode.to_owned(), *pid);
            }
        }
    }
    owners
}
