//! Requests that wait for a slot.

use std::{collections::VecDeque, time::Duration};

use crate::timeline::RequestId;

use super::SizeClass;

/// A bounded queue that shares the slots fairly between small and large requests: by service
/// time, so a few manifests don't delay many bookings. Each size is served in order of arrival.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    small: Lane,
    large: Lane,
}

/// The waiting requests of one size.
#[derive(Debug, Clone, Default)]
struct Lane {
    waiting: VecDeque<RequestId>,
    /// Service time handed out so far; the lane that got less is next.
    served: Duration,
}

impl Queue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.small.waiting.len() + self.large.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Requests of one size that wait.
    pub fn count(&self, size: SizeClass) -> usize {
        self.lane(size).waiting.len()
    }

    /// Appends a request. A lane that was empty does not keep what it saved up meanwhile.
    pub fn push(&mut self, id: RequestId, size: SizeClass) {
        let other = self.lane(size.other()).served;
        let lane = self.lane_mut(size);
        if lane.waiting.is_empty() {
            lane.served = lane.served.max(other);
        }
        lane.waiting.push_back(id);
    }

    /// Takes the next request; a large one only if `large`. `service` predicts service times.
    pub fn pop(
        &mut self,
        large: bool,
        service_time: impl Fn(SizeClass) -> Duration,
    ) -> Option<(RequestId, SizeClass)> {
        let size = self.next(large)?;
        let lane = self.lane_mut(size);
        let id = lane.waiting.pop_front()?;
        lane.served += service_time(size);
        Some((id, size))
    }

    /// Removes a request wherever it waits.
    pub fn remove(&mut self, id: RequestId, size: SizeClass) {
        self.lane_mut(size).waiting.retain(|other| *other != id);
    }

    /// All waiting requests, in order of arrival within each size.
    pub fn ids(&self) -> Vec<RequestId> {
        let small = self.small.waiting.iter();
        small.chain(&self.large.waiting).copied().collect()
    }

    fn next(&self, large: bool) -> Option<SizeClass> {
        let small = !self.small.waiting.is_empty();
        let large = large && !self.large.waiting.is_empty();
        match (small, large) {
            (true, true) if self.large.served < self.small.served => Some(SizeClass::Large),
            (true, _) => Some(SizeClass::Small),
            (false, true) => Some(SizeClass::Large),
            (false, false) => None,
        }
    }

    fn lane(&self, size: SizeClass) -> &Lane {
        match size {
            SizeClass::Small => &self.small,
            SizeClass::Large => &self.large,
        }
    }

    fn lane_mut(&mut self, size: SizeClass) -> &mut Lane {
        match size {
            SizeClass::Small => &mut self.small,
            SizeClass::Large => &mut self.large,
        }
    }
}
