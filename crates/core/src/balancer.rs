//! Routing decisions of a balancer: which agent receives a caller's datagram, and which agents are
//! alive.
//!
//! A datagram of an open flow is routed by its connection id alone, so any balancer can route any
//! datagram of any flow, and no balancer keeps a table of flows. The balancer reads only the
//! version-independent part of QUIC headers (RFC 8999) and the type of long headers of version 1.
//!
//! Lock order, outermost first: the blackboard's locks, the router's table, the random number
//! generator, the health of one agent, the gate, the priority list, the budgets, the throttles. The
//! list of trusted balancers is never locked together with another lock. Each lock is held only
//! briefly and never across a call to code outside this module.

mod action;
mod bucket;
mod counters;
mod form;
mod gate;
mod header;
mod health;
mod input;
mod placement;
mod policy;
mod prober;
mod reason;
mod reset;
mod route;
mod router;
mod settings;
mod table;
mod throttle;

pub use self::{
    action::Action, bucket::Bucket, counters::Counters, form::Form, header::Header, input::Input,
    policy::Policy, reason::Reason, reset::Reset, route::Route, router::Router, settings::Settings,
};
