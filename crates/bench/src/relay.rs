//! TCP relays between agents, and from agents to the store, that can block one direction between two nodes.
//!
//! Each agent advertises the address of a relay. To find out which agent opened a connection, the relay looks
//! up the owner of the port in the kernel's socket table, so that the agents need no support for relays. A
//! cut link delays bytes, as a lost link does under TCP: they arrive after the cut has ended, or never if the
//! connection closes first.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::TcpStream;
use anyhow::Context;
use anyhow::Result;
use jy_kernel::clock;
use jy_types::time::Millis;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::sleep;

use crate::socket_owner;

const BUFFER_BYTES: usize = 16 * 1024;

/// Interval at which a blocked connection checks whether the cut has ended.
const CUT_POLL_INTERVAL_MS: u64 = 10;

/// Minimum interval between reads of the kernel's socket table for unknown ports.
const PORT_REFRESH_INTERVAL_MS: u64 = 100;

/// Index of a node in its fleet.
pub type NodeIndex = usize;

/// Index that stands for the store in cuts.
pub const STORE_NODE: NodeIndex = usize::MAX;

/// State shared by all relays of a fleet: cuts, and which agent opened which connection.
#[derive(Debug, Default)]
struct LinkState {
    /// Directions that are cut, as source and destination.
    cuts: RefCell<BTreeSet<(NodeIndex, NodeIndex)>>,
    node_by_pid: RefCell<HashMap<u32, NodeIndex>>,
    /// Nodes by the local port of their agents' sockets, as of `ports_read_at`.
    node_by_port: RefCell<HashMap<u16, NodeIndex>>,
    ports_read_at: Cell<Millis>,
    peer_bytes: Cell<u64>,
    store_bytes: Cell<u64>,
}

impl LinkState {
    /// Returns the node whose agent owns a local port. If the port is unknown, reads the kernel's socket
    /// table again, unless that was done less than [`PORT_REFRESH_INTERVAL_MS`] ago.
    fn node_of_port(&self, port: u16) -> Option<NodeIndex> {
        let known = self.node_by_port.borrow().get(&port).copied();
        if known.is_some()
            || clock::now().since(self.ports_read_at.get()) < PORT_REFRESH_INTERVAL_MS
        {
            return known;
        }
        self.refresh_ports();
        self.node_by_port.borrow().get(&port).copied()
    }

    /// Reads from the kernel's socket table which agent owns which port.
    fn refresh_ports(&self) {
        let nodes = self.node_by_pid.borrow();
        let pids: Vec<u32> = nodes.keys().copied().collect();
        let ports = socket_owner::port_owners(&pids).into_iter();
        let owners = ports.filter_map(|(port, pid)| Some((port, *nodes.get(&pid)?)));
        *self.node_by_port.borrow_mut() = owners.collect();
        self.ports_read_at.set(clock::now());
    }
}

/// All relays of a fleet.
#[derive(Clone, Debug, Default)]
pub struct RelayNet {
    links: Rc<LinkState>,
}

impl RelayNet {
    /// Creates a net without relays and cuts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers the process id of a node's agent, also after a restart.
    pub fn set_pid(&self, node: NodeIndex, pid: u32) {
        self.links.node_by_pid.borrow_mut().insert(pid, node);
    }

    /// Blocks all bytes from one node to another.
    pub fn cut(&self, from: NodeIndex, to: NodeIndex) {
        if self.links.cuts.borrow().is_empty() {
            self.links.refresh_ports();
        }
        self.links.cuts.borrow_mut().insert((from, to));
    }

    /// Ends all cuts; blocked bytes then pass.
    pub fn heal(&self) {
        self.links.cuts.borrow_mut().clear();
    }

    /// Returns the number of bytes relayed so far: between agents, and between agents and the store.
    #[must_use]
    pub fn bytes(&self) -> (u64, u64) {
        (self.links.peer_bytes.get(), self.links.store_bytes.get())
    }

    /// Relays connections on `listen` to `target`, a listener of the agent of node `to` or of the store.
    ///
    /// # Errors
    ///
    /// If `listen` can't be bound.
    pub async fn relay(&self, listen: SocketAddr, target: SocketAddr, to: NodeIndex) -> Result<()> {
        let listener = TcpListener::bind(listen)
            .await
            .with_context(|| format!("could not bind a relay to {listen}"))?;
        let links = Rc::clone(&self.links);
        actix_rt::spawn(async move {
            while let Ok((stream, peer)) = listener.accept().await {
                let link = RelayedLink {
                    links: Rc::clone(&links),
                    peer,
                    to,
                    from: Cell::new(None),
                };
                actix_rt::spawn(relay_connection(link, stream, target));
            }
        });
        Ok(())
    }
}

/// One relayed connection.
struct RelayedLink {
    links: Rc<LinkState>,
    peer: SocketAddr,
    to: NodeIndex,
    /// The node that opened the connection, once it has been looked up.
    from: Cell<Option<NodeIndex>>,
}

impl RelayedLink {
    /// Returns whether bytes to the target, or from it, are blocked now.
    fn is_cut(&self, to_target: bool) -> bool {
        let cuts = self.links.cuts.borrow();
        if cuts.is_empty() {
            return false;
        }
        if self.from.get().is_none() {
            self.from.set(self.links.node_of_port(self.peer.port()));
        }
        // While a cut exists, a connection whose source is unknown passes nothing.
        self.from.get().is_none_or(|from| {
            let link = if to_target {
                (from, self.to)
            } else {
                (self.to, from)
            };
            cuts.contains(&link)
        })
    }

    /// Waits until no cut blocks the direction.
    async fn wait_while_cut(&self, to_target: bool) {
        while self.is_cut(to_target) {
            sleep(Duration::from_millis(CUT_POLL_INTERVAL_MS)).await;
        }
    }

    /// Adds to the counter of relayed bytes.
    fn count(&self, bytes: usize) {
        let counter = if self.to == STORE_NODE {
            &self.links.store_bytes
        } else {
            &self.links.peer_bytes
        };
        counter.set(counter.get() + bytes as u64);
    }

    /// Copies bytes in one direction until a side closes. A cut delays the close too.
    async fn copy_bytes(
        &self,
        mut input: OwnedReadHalf,
        mut output: OwnedWriteHalf,
        to_target: bool,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count) = input.read(&mut buffer).await {
            self.wait_while_cut(to_target).await;
            self.count(count);
            if count == 0 || output.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
        self.wait_while_cut(to_target).await;
    }
}

/// Relays one connection in both directions until either side closes.
async fn relay_connection(link: RelayedLink, source_stream: TcpStream, target: SocketAddr) {
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return;
    };
    // Without Nagle's algorithm, which would delay small messages.
    drop(source_stream.set_nodelay(true));
    drop(target_stream.set_nodelay(true));
    let (source_in, source_out) = source_stream.into_split();
    let (target_in, target_out) = target_stream.into_split();
    tokio::select! {
        () = link.copy_bytes(source_in, target_out, true) => {}
        () = link.copy_bytes(target_in, source_out, false) => {}
    }
}
