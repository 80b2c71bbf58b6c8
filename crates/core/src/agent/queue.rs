//! Queue of requests that wait for a slot.

use std::{collections::VecDeque, time::Duration};

use crate::timeline::RequestId;

use super::SizeClass;

/// A queue that shares service time equally between small and large requests, so that a few large
/// requests don't delay many small ones. Each size class is served in order of arrival. The agent
/// bounds its length by [`super::Settings::max_queued`].
#[derive(Debug, Clone, Default)]
pub struct Queue {
    small: Lane,
    large: Lane,
}

/// The waiting requests of one size class.
#[derive(Debug, Clone, Default)]
struct Lane {
    waiting: VecDeque<RequestId>,
    /// Predicted service time of the requests taken so far; the lane with less is next.
    served: Duration,
}

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.small.waiting.len() + self.large.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of waiting requests of one size class.
    pub fn count(&self, size: SizeClass) -> usize {
        self.lane(size).waiting.len()
    }

    /// Appends a request. A lane that was empty gets no credit for the time it was empty: its
    /// service time is raised to that of the other lane.
    pub fn push(&mut self, id: RequestId, size: SizeClass) {
        let other = self.lane(size.other()).served;
        let lane = self.lane_mut(size);
        if lane.waiting.is_empty() {
            lane.served = lane.served.max(other);
        }
        lane.waiting.push_back(id);
    }

    /// Takes the next request; a large one only if `large_allowed`. `service_time` predicts
    /// service times.
    pub fn pop(
        &mut self,
        large_allowed: bool,
        service_time: impl Fn(SizeClass) -> Duration,
    ) -> Option<(RequestId, SizeClass)> {
        let size = self.next(large_allowed)?;
        let lane = self.lane_mut(size);
        let id = lane.waiting.pop_front()?;
        lane.served += service_time(size);
        Some((id, size))
    }

    /// Removes a request.
    pub fn remove(&mut self, id: RequestId, size: SizeClass) {
        self.lane_mut(size).waiting.retain(|other| *other != id);
    }

    /// All waiting requests, small ones first, in order of arrival within each size class.
    pub fn ids(&self) -> Vec<RequestId> {
        let small = self.small.waiting.iter();
        small.chain(&self.large.waiting).copied().collect()
    }

    fn next(&self, large_allowed: bool) -> Option<SizeClass> {
        let small = !self.small.waiting.is_empty();
        let large = large_allowed && !self.large.waiting.is_empty();
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
