//! A TCP relay between agents that can hold back one direction between two of them.
//!
//! Each agent advertises a relay's address. The relay finds out which child process has dialled by
//! the kernel's table of sockets, so that the agents take no part. A cut holds bytes back, as a lost
//! link does under TCP: they arrive after it heals, or never.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::net::TcpStream;
use anyhow::Context;
use anyhow::Result;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

use crate::socket_owner;

/// Bytes that one read takes at most.
const BUFFER_BYTES: usize = 16 * 1024;

/// Index of a node in its fleet.
pub type NodeIndex = usize;

/// Links that are cut, by direction.
#[derive(Debug, Default)]
struct LinkState {
    cuts: RefCell<BTreeSet<(NodeIndex, NodeIndex)>>,
    pids: RefCell<HashMap<u32, NodeIndex>>,
    changed: watch::Sender<u64>,
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
        self.links.cuts.borrow_mut().insert((from, to));
        self.links.changed.send_modify(|count| *count += 1);
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.links.cuts.borrow_mut().clear();
        self.links.changed.send_modify(|count| *count += 1);
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
                let links = Rc::clone(&links);
                actix_rt::spawn(connect(links, stream, peer, target, to));
            }
        });
        Ok(())
    }
}

/// Relays one connection in both directions until either side closes.
async fn connect(
    links: Rc<LinkState>,
    near: TcpStream,
    peer: SocketAddr,
    target: SocketAddr,
    to: NodeIndex,
) {
    let pids: Vec<u32> = links.pids.borrow().keys().copied().collect();
    let find = actix_rt::task::spawn_blocking(move || socket_owner::find(peer, &pids));
    let owner = find.await.ok().flatten();
    let from = owner.and_then(|pid| links.pids.borrow().get(&pid).copied());
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // Small messages go at once.
    drop(near.set_nodelay(true));
    drop(far.set_nodelay(true));
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let there = from.map(|from| (from, to));
    let back = from.map(|from| (to, from));
    tokio::select! {
        () = pump(&links, near_in, far_out, there) => {}
        () = pump(&links, far_in, near_out, back) => {}
    }
}

/// Copies bytes in one direction, held back while the link is cut.
async fn pump(
    links: &LinkState,
    mut input: OwnedReadHalf,
    mut output: OwnedWriteHalf,
    link: Option<(NodeIndex, NodeIndex)>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = input.read(&mut buffer).await {
        wait_until_whole(links, link).await;
        if count == 0 || output.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    wait_until_whole(links, link).await;
}

/// Waits until a link is not cut.
async fn wait_until_whole(links: &LinkState, link: Option<(NodeIndex, NodeIndex)>) {
    let mut changed = links.changed.subscribe();
    let is_cut = || link.is_some_and(|link| links.cuts.borrow().contains(&link));
    while is_cut() {
        if changed.changed().await.is_err() {
            return;
        }
    }
}
