//! Connects the services of an agent: registers the listeners for changes of records, leases and roles.

use std::rc::Rc;

use anyhow::Result;
use jy_kernel::registry::ServiceRegistry;

use crate::control;
use crate::control::ControlService;
use crate::election;
use crate::election::ElectionService;
use crate::feed;
use crate::feed::FeedService;
use crate::gate;
use crate::gate::GateService;
use crate::gateway;
use crate::gateway::GatewayService;
use crate::gossip;
use crate::gossip::GossipService;
use crate::lease;
use crate::lease::LeaseService;
use crate::member;
use crate::member::MemberService;

/// Connects the services to changes of the records.
///
/// # Errors
///
/// Returns an error if a service is not registered.
pub fn connect_views(registry: &ServiceRegistry) -> Result<()> {
    let feed = registry.find::<FeedService>(feed::SERVICE)?;
    let leases = registry.find::<LeaseService>(lease::SERVICE)?;
    let gate = registry.find::<GateService>(gate::SERVICE)?;
    let gateway = registry.find::<GatewayService>(gateway::SERVICE)?;
    let controller = registry.find::<ControlService>(control::SERVICE)?;
    let candidate = registry.find::<ElectionService>(election::SERVICE)?;
    let own_member = registry.find::<MemberService>(member::SERVICE)?;
    let gossip = registry.find::<GossipService>(gossip::SERVICE)?;
    feed.add_listener(Rc::new(move |view, changed| {
        leases.on_view(view);
        gate.on_view(view);
        gateway.on_view(view);
        controller.on_records(changed);
        candidate.on_view();
        own_member.on_view();
        gossip.on_view(view);
    }));
    Ok(())
}

/// Connects the listeners for the lease, votes, revisions, the controller's role, releases and pulls.
///
/// # Errors
///
/// Returns an error if a service is not registered.
pub fn connect_leases(registry: &ServiceRegistry) -> Result<()> {
    let leases = registry.find::<LeaseService>(lease::SERVICE)?;
    let gate = registry.find::<GateService>(gate::SERVICE)?;
    let gateway = registry.find::<GatewayService>(gateway::SERVICE)?;
    let controller = registry.find::<ControlService>(control::SERVICE)?;
    let candidate = registry.find::<ElectionService>(election::SERVICE)?;
    let gossip = registry.find::<GossipService>(gossip::SERVICE)?;

    let lease_listener = Rc::clone(&gate);
    leases.add_listener(Rc::new(move |until| lease_listener.on_lease(until)));
    let vote_sender = Rc::clone(&controller);
    leases.on_vote(Rc::new(move |target| vote_sender.send_vote(target)));
    let revision_listener = Rc::clone(&gossip);
    leases.on_revision(Rc::new(move |from, revision| {
        revision_listener.on_revision(from, revision);
    }));
    gateway.on_pull(Rc::new(move || gossip.pull_any()));
    let role_listener = Rc::clone(&controller);
    candidate.on_role(Rc::new(move |term| role_listener.on_role(term)));
    let weak_gate = Rc::downgrade(&gate);
    gate.on_release(Rc::new(move |units, entries| {
        let service = weak_gate.upgrade().and_then(|gate| gate.service());
        if let Some(service) = service {
            controller.release(service, units, entries);
        }
    }));
    Ok(())
}
