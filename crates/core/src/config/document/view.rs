//! The part of a document that one agent needs.

use std::{collections::VecDeque, net::SocketAddr};

use super::Document;

impl Document {
    /// What the agent at `address` needs: its service with all upstreams of it, the zones and the
    /// secrets. Its size does not grow with the number of services. `None` until an agent of
    /// that address is admitted.
    pub fn for_agent(&self, address: SocketAddr) -> Option<Self> {
        let own = self.upstreams.values().find(|u| u.agent == address)?;
        let service = own.service;
        let mut view = Self {
            operations: VecDeque::new(),
            ..self.clone()
        };
        view.services.retain(|&id, _| id == service);
        view.upstreams.retain(|_, u| u.service == service);
        Some(view)
    }
}
