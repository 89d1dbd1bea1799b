//! Gossips records between agents: offers newer revisions to other agents and pulls missing records from them.

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

/// Minimum interval between two rounds of offers, in milliseconds.
const MIN_OFFER_INTERVAL_MS: u64 = 100;

/// Gossips records with the agents with which this one exchanges lease renewals.
pub struct GossipService {
    id: AgentId,
    feed: Rc<FeedService>,
    peers: Rc<PeerService>,
    neighbours: RefCell<Vec<AgentId>>,
    pulling: Cell<bool>,
    changed: Notify,
}

impl GossipService {
    /// Creates the service without neighbours.
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

    /// Updates the neighbours from a new view, closes the connections to agents that have ended, and triggers
    /// an offer.
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
            sleep(Duration::from_millis(MIN_OFFER_INTERVAL_MS)).await;
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

    /// Handles the revision of another agent's replica: pulls from that agent if its revision is newer.
    pub fn on_revision(self: &Rc<Self>, from: &AgentId, revision: u64) {
        if revision > self.feed.revision() {
            self.pull(from);
        }
    }

    /// Pulls from a random neighbour; called when the records seem outdated.
    pub fn pull_any(self: &Rc<Self>) {
        let neighbour = self.neighbours.borrow().choose(&mut rand::rng()).cloned();
        if let Some(neighbour) = neighbour {
            self.pull(&neighbour);
        }
    }

    /// Pulls the missing records from an agent, unless another pull is running.
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
                gossip.feed.apply_batch(batch);
            }
        });
    }
}

/// Returns the agent's monitors and the agents that it monitors.
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
