//! Finds which child process holds the other end of a loopback connection.

use std::collections::HashMap;
use std::fs;

/// Table of the kernel's TCP sockets.
const TCP_TABLE: &str = "/proc/net/tcp";

/// Column with the local address in the table.
const LOCAL_COLUMN: usize = 1;
/// Column with the inode in the table.
const INODE_COLUMN: usize = 9;

/// Returns the local port of every open TCP socket of `pids`, with the process that holds it.
#[must_use]
pub fn ports_of(pids: &[u32]) -> HashMap<u16, u32> {
    let holders = holders_of(pids);
    let table = fs::read_to_string(TCP_TABLE).unwrap_or_default();
    let port = |line: &str| {
        let mut columns = line.split_whitespace();
        let (_, port) = columns.nth(LOCAL_COLUMN)?.split_once(':')?;
        let inode = columns.nth(INODE_COLUMN - LOCAL_COLUMN - 1)?;
        let pid = holders.get(inode)?;
        Some((u16::from_str_radix(port, 16).ok()?, *pid))
    };
    table.lines().filter_map(port).collect()
}

/// Returns the inode of every socket of `pids`, with the process that holds it.
fn holders_of(pids: &[u32]) -> HashMap<String, u32> {
    let mut holders = HashMap::new();
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
                holders.insert(inode.to_owned(), *pid);
            }
        }
    }
    holders
}
