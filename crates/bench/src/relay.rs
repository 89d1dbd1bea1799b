//! A TCP relay between agents that can hold back one direction between two of them.
//!
//! Each agent advertises a relay's address. The relay finds out which child process has dialled by
//! the kernel's table of sockets, so that the agents take no part. A cut holds bytes back, as a lost
//! link does under TCP: they arrive after it heals, or never.

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

/// Bytes that one read takes at most.
const BUFFER_BYTES: usize = 16 * 1024;

/// Time between looks whether a cut has ended, in milliseconds.
const CUT_LOOK_MS: u64 = 10;

/// The kernel's table of sockets is read at most this often, in milliseconds.
const READ_EVERY_MS: u64 = 100;

/// Index of a node in its fleet.
pub type NodeIndex = usize;

/// Node index under which the store appears in cuts.
pub const STORE_NODE: NodeIndex = usize::MAX;

/// Links that are cut, by direction.
#[derive(Debug, Default)]
struct LinkState {
    cuts: RefCell<BTreeSet<(NodeIndex, NodeIndex)>>,
    pids: RefCell<HashMap<u32, NodeIndex>>,
    dialled: RefCell<HashMap<u16, NodeIndex>>,
    read_at: Cell<Millis>,
    peer_bytes: Cell<u64>,
    store_bytes: Cell<u64>,
}

impl LinkState {
    /// Returns the node whose agent has a port; reads the kernel's table anew now and then.
    fn owner_of(&self, port: u16) -> Option<NodeIndex> {
        let known = self.dialled.borrow().get(&port).copied();
        if known.is_some() || clock::now().since(self.read_at.get()) < READ_EVERY_MS {
            return known;
        }
        self.read_owners();
        self.dialled.borrow().get(&port).copied()
    }

    /// Reads which agent has which port.
    fn read_owners(&self) {
        let nodes = self.pids.borrow();
        let pids: Vec<u32> = nodes.keys().copied().collect();
        let ports = socket_owner::ports_of(&pids).into_iter();
        let owners = ports.filter_map(|(port, pid)| Some((port, *nodes.get(&pid)?)));
        *self.dialled.borrow_mut() = owners.collect();
        self.read_at.set(clock::now());
    }
}

/// All relays of a fleet.
#[derive(Clone, Debug, Default)]
pub struct RelayNet {
    links: Rc<LinkState>,
}

impl RelayNet {
    /// Makes a net without cuts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Says which process a node's agent is now.
    pub fn set_pid(&self, node: NodeIndex, pid: u32) {
        self.links.pids.borrow_mut().insert(pid, node);
    }

    /// Holds back all bytes from one node to another.
    pub fn cut(&self, from: NodeIndex, to: NodeIndex) {
        if self.links.cuts.borrow().is_empty() {
            self.links.read_owners();
        }
        self.links.cuts.borrow_mut().insert((from, to));
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.links.cuts.borrow_mut().clear();
    }

    /// Returns the bytes relayed so far: between agents, and between agents and the store.
    #[must_use]
    pub fn bytes(&self) -> (u64, u64) {
        (self.links.peer_bytes.get(), self.links.store_bytes.get())
    }

    /// Relays connections to `target`, which is a listener of the agent of node `to`.
    ///
    /// # Errors
    ///
    /// If `listen` can't be bound.
    pub async fn relay(&self, listen: SocketAddr, target: SocketAddr, to: NodeIndex) -> Result<()> {
        let listener = TcpListener::bind(listen)
            .await
            .with_context(|| format!("the relay could not listen on {listen}"))?;
        let links = Rc::clone(&self.links);
        actix_rt::spawn(async move {
            while let Ok((stream, peer)) = listener.accept().await {
                let link = RelayedLink {
                    links: Rc::clone(&links),
                    peer,
                    to,
                    from: Cell::new(None),
                };
                actix_rt::spawn(connect(link, stream, target));
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
    from: Cell<Option<NodeIndex>>,
}

impl RelayedLink {
    /// Whether bytes are held back now, towards the listener or from it.
    fn is_cut(&self, towards: bool) -> bool {
        let cuts = self.links.cuts.borrow();
        if cuts.is_empty() {
            return false;
        }
        if self.from.get().is_none() {
            self.from.set(self.links.owner_of(self.peer.port()));
        }
        // Until it is known who dialled, nothing passes.
        self.from.get().is_none_or(|from| {
            let link = if towards {
                (from, self.to)
            } else {
                (self.to, from)
            };
            cuts.contains(&link)
        })
    }

    /// Waits until no bytes are held back.
    async fn wait_until_whole(&self, towards: bool) {
        while self.is_cut(towards) {
            sleep(Duration::from_millis(CUT_LOOK_MS)).await;
        }
    }

    /// Counts bytes that pass.
    fn count(&self, bytes: usize) {
        let counter = if self.to == STORE_NODE {
            &self.links.store_bytes
        } else {
            &self.links.peer_bytes
        };
        counter.set(counter.get() + bytes as u64);
    }

    /// Copies bytes in one direction until a side closes.
    async fn pump(&self, mut input: OwnedReadHalf, mut output: OwnedWriteHalf, towards: bool) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count) = input.read(&mut buffer).await {
            self.wait_until_whole(towards).await;
            self.count(count);
            if count == 0 || output.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
        self.wait_until_whole(towards).await;
    }
}

/// Relays one connection in both directions until either side closes.
async fn connect(link: RelayedLink, near: TcpStream, target: SocketAddr) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // Small messages go at once.
    drop(near.set_nodelay(true));
    drop(far.set_nodelay(true));
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    tokio::select! {
        () = link.pump(near_in, far_out, true) => {}
        () = link.pump(far_in, near_out, false) => {}
    }
}
