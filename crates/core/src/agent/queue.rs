//! Requests that wait for a slot.

use std::{collections::VecDeque, time::Duration};

use crate::timeline::RequestId;

use super::Weight;

/// A bounded queue that shares the slots fairly between small and heavy requests: by service
/// time, so a few manifests don't delay many bookings. Each weight is served in order of arrival.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    small: Lane,
    heavy: Lane,
}

/// The waiting requests of one weight.
#[derive(Debug, Clone, Default)]
struct Lane {
    waiting: VecDeque<RequestId>,
    /// Service time handed out so far; the lane that got less is next.
    served: Duration,
}

impl Queue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.small.waiting.len() + self.heavy.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Requests of one weight that wait.
    pub fn count(&self, weight: Weight) -> usize {
        self.lane(weight).waiting.len()
    }

    /// Appends a request. A lane that was empty does not keep what it saved up meanwhile.
    pub fn push(&mut self, id: RequestId, weight: Weight) {
        let other = self.lane(weight.other()).served;
        let lane = self.lane_mut(weight);
        if lane.waiting.is_empty() {
            lane.served = lane.served.max(other);
        }
        lane.waiting.push_back(id);
    }

    /// Takes the next request; a heavy one only if `heavy`. `service` predicts service times.
    pub fn pop(
        &mut self,
        heavy: bool,
        service: impl Fn(Weight) -> Duration,
    ) -> Option<(RequestId, Weight)> {
        let weight = self.next(heavy)?;
        let lane = self.lane_mut(weight);
        let id = lane.waiting.pop_front()?;
        lane.served += service(weight);
        Some((id, weight))
    }

    /// Removes a request wherever it waits.
    pub fn remove(&mut self, id: RequestId, weight: Weight) {
        self.lane_mut(weight).waiting.retain(|other| *other != id);
    }

    /// All waiting requests, in order of arrival within each weight.
    pub fn ids(&self) -> Vec<RequestId> {
        let small = self.small.waiting.iter();
        small.chain(&self.heavy.waiting).copied().collect()
    }

    fn next(&self, heavy: bool) -> Option<Weight> {
        let small = !self.small.waiting.is_empty();
        let heavy = heavy && !self.heavy.waiting.is_empty();
        match (small, heavy) {
            (true, true) if self.heavy.served < self.small.served => Some(Weight::Heavy),
            (true, _) => Some(Weight::Small),
            (false, true) => Some(Weight::Heavy),
            (false, false) => None,
        }
    }

    fn lane(&self, weight: Weight) -> &Lane {
        match weight {
            Weight::Small => &self.small,
            Weight::Heavy => &self.heavy,
        }
    }

    fn lane_mut(&mut self, weight: Weight) -> &mut Lane {
        match weight {
            Weight::Small => &mut self.small,
            Weight::Heavy => &mut self.heavy,
        }
    }
}
