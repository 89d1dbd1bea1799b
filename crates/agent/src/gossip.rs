//! Gossips records between agents: offers newer revisions, pulls what is lacking.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use jy_feed::view::FleetView;
use jy_types::member::AgentId;
use jy_types::peer::OFFER_METHOD;
use jy_types::peer::PULL_METHOD;
use jy_types::peer::Pull;
use jy_types::peer::RevisionOffer;
use jy_types::record::RecordBatch;
use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::feed::FeedService;
use crate::peers::PeerService;
use crate::peers::notify;

/// Name of this service.
pub const SERVICE: &str = "spread";

/// Shortest time between two rounds of offers, in milliseconds.
const OFFER_EVERY_MS: u64 = 100;

/// Gossips records to and from the agents that this one exchanges renewals with.
pub struct GossipService {
    id: AgentId,
    feed: Rc<FeedService>,
    peers: Rc<PeerService>,
    neighbours: RefCell<Vec<AgentId>>,
    pulling: Cell<bool>,
    changed: Notify,
}

impl GossipService {
    /// Makes the service without neighbours.
    #[must_use]
    pub fn new(id: AgentId, feed: Rc<FeedService>, peers: Rc<PeerService>) -> Self {
        Self {
            id,
            feed,
            peers,
            neighbours: RefCell::default(),
            pulling: Cell::new(false),
            changed: Notify::new(),
        }
    }

    /// Takes a new view in and closes connections to agents that are over.
    pub fn on_view(&self, view: &FleetView) {
        *self.neighbours.borrow_mut() = neighbours(view, &self.id);
        let present: BTreeSet<_> = view.present().map(|member| member.rpc_addr).collect();
        self.peers.retain(|address| present.contains(address));
        self.changed.notify_one();
    }

    /// Offers newer revisions to the neighbours. Never returns.
    pub async fn run(&self) {
        loop {
            self.changed.notified().await;
            self.offer();
            sleep(Duration::from_millis(OFFER_EVERY_MS)).await;
        }
    }

    /// Sends one round of offers.
    fn offer(&self) {
        let view = self.feed.view();
        for neighbour in &*self.neighbours.borrow() {
            let Some(member) = view.member(neighbour) else {
                continue;
            };
            let offer = RevisionOffer {
                from: self.id.clone(),
                revision: self.feed.revision(),
            };
            notify(&self.peers, member.rpc_addr, OFFER_METHOD, offer);
        }
    }

    /// Another agent has a revision: pulls if this one lacks it.
    pub fn on_revision(self: &Rc<Self>, from: &AgentId, revision: u64) {
        if revision > self.feed.revision() {
            self.pull(from);
        }
    }

    /// Pulls from any neighbour: the records seem old.
    pub fn pull_any(self: &Rc<Self>) {
        let neighbour = self.neighbours.borrow().choose(&mut rand::rng()).cloned();
        if let Some(neighbour) = neighbour {
            self.pull(&neighbour);
        }
    }

    /// Pulls what is lacking from an agent; one pull at a time.
    fn pull(self: &Rc<Self>, from: &AgentId) {
        let address = self.feed.view().member(from).map(|member| member.rpc_addr);
        let Some(address) = address else {
            return;
        };
        if self.pulling.replace(true) {
            return;
        }
        let gossip = Rc::clone(self);
        actix_rt::spawn(async move {
            let pull = Pull {
                after: gossip.feed.revision(),
            };
            let batch = gossip
                .peers
                .call::<_, RecordBatch>(address, PULL_METHOD, &pull);
            let batch = batch.await;
            gossip.pulling.set(false);
            if let Ok(batch) = batch {
                gossip.feed.take(batch);
            }
        });
    }
}

/// The agent's monitors and the agents that it monitors.
fn neighbours(view: &FleetView, id: &AgentId) -> Vec<AgentId> {
    let mut found = BTreeSet::new();
    for member in view.present() {
        let next = member.next_monitors.iter().flat_map(|set| &set.monitors);
        for monitor in member.monitors.monitors.iter().chain(next) {
            if member.id == *id {
                found.insert(monitor.clone());
            } else if monitor == id {
                found.insert(member.id.clone());
            }
        }
    }
    found.into_iter().collect()
}
