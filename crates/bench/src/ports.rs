//! Free ports of the loopback interface.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

use anyhow::Context;
use anyhow::Result;

/// Lowest port that is tried.
const FIRST_PORT: u16 = 10_000;
/// Number of ports that are tried; they end below those that connections leave from.
const PORT_COUNT: u16 = 22_000;

/// Hands out ports that nobody listens on.
#[derive(Debug)]
pub struct PortPool {
    next: u16,
}

impl PortPool {
    /// Starts at a place that differs from process to process.
    #[must_use]
    pub fn new() -> Self {
        let spread = std::process::id().wrapping_mul(257) % u32::from(PORT_COUNT);
        Self {
            next: u16::try_from(spread).unwrap_or_default(),
        }
    }

    /// Returns an address that nobody listens on.
    ///
    /// # Errors
    ///
    /// If every port is taken.
    pub fn take(&mut self) -> Result<SocketAddr> {
        for _ in 0..PORT_COUNT {
            let port = FIRST_PORT + self.next;
            self.next = (self.next + 1) % PORT_COUNT;
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        None.context("no port of the loopback interface is free")
    }
}

impl Default for PortPool {
    fn default() -> Self {
        Self::new()
    }
}
