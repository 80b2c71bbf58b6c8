//! How a balancer learns of agents from the store. Makes decisions only, without I/O; the
//! [`watcher`](crate::watcher) executes them.

mod agent_list;
mod schedule;
mod watch_monitor;

pub use self::{
    agent_list::{AgentList, Change},
    schedule::{LISTING_INTERVAL, MAX_STARVED_TIME, RETRY_DELAY, SETTLE_TIME, Schedule, Source},
    watch_monitor::{DELIVERY_TIME, WatchMonitor},
};
