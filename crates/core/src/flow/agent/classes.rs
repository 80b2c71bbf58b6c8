//! Classes of a service's requests: which there are, whose turn it is, and what each got.

use std::collections::{BTreeMap, BTreeSet};

use crate::flow::{Intent, Key, Priority};

/// What an agent did with the SYNs and requests of a class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Places that were offered to balancers with SYNs of the class.
    pub offered: u64,
    /// SYNs that were passed to the upstream.
    pub admitted: u64,
    /// Requests on open flows that were held.
    pub held: u64,
    /// Held requests that were delivered.
    pub passed: u64,
    /// Held requests that were dropped since their clients had given up.
    pub expired: u64,
    /// SYNs that were returned.
    pub returned: u64,
}

/// Classes of a service's requests. Empty if its routes do not differ in priority.
///
/// Load answered: more requests of several routes than the upstream bears. Free places go to the
/// most critical class that waits; some go to the next lower one, which would starve otherwise.
#[derive(Debug, Default)]
pub struct Classes {
    priorities: BTreeSet<Priority>,
    /// Places that went to the most critical class since a lower one got a place.
    since_lower: u32,
    /// The same for SYNs of a lower class that were admitted without room for their class.
    admitted_since_lower: u32,
    counts: BTreeMap<Priority, Counts>,
}

impl Classes {
    /// Replaces the classes by those of an intent.
    pub fn set_intent(&mut self, intent: &Intent, service: &str) {
        self.priorities = intent.policy.priorities(service);
        if self.priorities.len() < 2 {
            self.priorities.clear();
        }
    }

    /// Whether the service has no classes.
    pub fn is_empty(&self) -> bool {
        self.priorities.is_empty()
    }

    /// Whether a class is the most critical one.
    pub fn is_most_critical(&self, class: Priority) -> bool {
        self.priorities
            .first()
            .is_none_or(|&critical| class <= critical)
    }

    /// The class of a flow. A flow whose route is not known counts as the least critical.
    pub fn of(&self, intent: Option<&Intent>, flow: &Key) -> Priority {
        let route = intent.and_then(|intent| intent.policy.routes.get(&flow.route));
        match route {
            Some(route) => route.priority,
            None => self.priorities.last().copied().unwrap_or_default(),
        }
    }

    /// The class among those that wait which gets the next free place. `lower_share` of the places
    /// go to the class below the most critical one of them.
    ///
    /// ```
    /// use sassafrasmast_core::flow::agent::Classes;
    /// let mut classes = Classes::default();
    /// let waiting = [1, 2].into();
    /// let turns = [(); 4].map(|()| classes.next(&waiting, 0.25).unwrap());
    /// assert_eq!(turns, [1, 1, 1, 2]);
    /// ```
    pub fn next<C: Copy + Ord>(&mut self, waiting: &BTreeSet<C>, lower_share: f64) -> Option<C> {
        let mut in_order = waiting.iter().copied();
        let critical = in_order.next()?;
        let Some(lower) = in_order.next() else {
            return Some(critical);
        };
        self.since_lower = self.since_lower.saturating_add(1);
        if f64::from(self.since_lower) * lower_share < 1.0 {
            return Some(critical);
        }
        self.since_lower = 0;
        Some(lower)
    }

    /// Records that a SYN of a class was admitted.
    pub fn record_admission(&mut self, class: Priority) {
        if self.is_most_critical(class) {
            self.admitted_since_lower = self.admitted_since_lower.saturating_add(1);
        }
        self.count(class, |counts| counts.admitted += 1);
    }

    /// Whether a SYN that is not of the most critical class may use a place that was offered for
    /// a more critical one, as `lower_share` of the admitted SYNs may. Ends the turn if so.
    pub fn use_lower_turn(&mut self, lower_share: f64) -> bool {
        let is_due = f64::from(self.admitted_since_lower) * lower_share >= 1.0;
        if is_due {
            self.admitted_since_lower = 0;
        }
        is_due
    }

    /// Counts an event of a class, if the service has classes.
    pub fn count(&mut self, class: Priority, apply: impl FnOnce(&mut Counts)) {
        if !self.priorities.is_empty() {
            apply(self.counts.entry(class).or_default());
        }
    }

    /// What was done with the SYNs and requests of each class since the agent's start.
    pub fn counts(&self) -> &BTreeMap<Priority, Counts> {
        &self.counts
    }
}
