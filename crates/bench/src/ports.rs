//! Allocation of free TCP ports on the loopback interface.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

use anyhow::Context;
use anyhow::Result;

const FIRST_PORT: u16 = 10_000;
/// Size of the port range. It ends below the ephemeral ports, which outgoing connections use.
const PORT_COUNT: u16 = 22_000;

/// Allocates ports that no process listens on.
#[derive(Debug)]
pub struct PortPool {
    next_offset: u16,
}

impl PortPool {
    /// Creates a pool that starts at an offset derived from the process id, so that processes that run at the
    /// same time start at different ports.
    #[must_use]
    pub fn new() -> Self {
        let offset = std::process::id().wrapping_mul(257) % u32::from(PORT_COUNT);
        Self {
            next_offset: u16::try_from(offset).unwrap_or_default(),
        }
    }

    /// Returns an address that no process listens on. No port is returned twice until the range has been used
    /// up.
    ///
    /// # Errors
    ///
    /// If no port of the range can be bound.
    pub fn take(&mut self) -> Result<SocketAddr> {
        for _ in 0..PORT_COUNT {
            let port = FIRST_PORT + self.next_offset;
            self.next_offset = (self.next_offset + 1) % PORT_COUNT;
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        None.context("could not bind any port of the range on the loopback interface")
    }
}

impl Default for PortPool {
    fn default() -> Self {
        Self::new()
    }
}
