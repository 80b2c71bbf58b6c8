//! Turns of client addresses among queued SYNs.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    net::Ipv4Addr,
};

use super::queue::Place;

/// Turn of a SYN: 0 for the first one of an address, 1 for the second, and so on.
pub type Turn = u64;

/// What is known of an address with queued SYNs.
#[derive(Debug, Default)]
struct Address {
    queued: usize,
    /// Turn of its next SYN.
    next: Turn,
}

/// Turns of client addresses among queued SYNs of one class.
///
/// Load answered: one address sends many attempts at once. In the order of lateness they would take
/// all places until they are served; by turns each address gets one place before any gets a second
/// one. Turns are the start tags of start-time fair queueing with one place as the unit of work.
#[derive(Debug, Default)]
pub struct Turns {
    addresses: HashMap<Ipv4Addr, Address>,
    on_time: BTreeSet<(Turn, Place)>,
    /// The latest goes first among those of one turn.
    late: BTreeSet<(Turn, Reverse<Place>)>,
}

impl Turns {
    /// The turn of a further SYN of an address: after its others, and not before any that is queued.
    pub fn next(&self, address: Ipv4Addr) -> Turn {
        let next = self.addresses.get(&address).map_or(0, |state| state.next);
        next.max(self.current())
    }

    /// The lowest turn that is queued.
    fn current(&self) -> Turn {
        let on_time = self.on_time.first().map(|&(turn, _)| turn);
        let late = self.late.first().map(|&(turn, _)| turn);
        on_time.into_iter().chain(late).min().unwrap_or_default()
    }

    /// Adds a SYN on time.
    pub fn insert(&mut self, address: Ipv4Addr, turn: Turn, place: Place) {
        let state = self.addresses.entry(address).or_default();
        state.queued += 1;
        state.next = state.next.max(turn + 1);
        self.on_time.insert((turn, place));
    }

    /// Records that a SYN has become late.
    pub fn set_late(&mut self, turn: Turn, place: Place) {
        if self.on_time.remove(&(turn, place)) {
            self.late.insert((turn, Reverse(place)));
        }
    }

    /// Removes a SYN.
    pub fn remove(&mut self, address: Ipv4Addr, turn: Turn, place: Place) {
        self.on_time.remove(&(turn, place));
        self.late.remove(&(turn, Reverse(place)));
        if let Some(state) = self.addresses.get_mut(&address) {
            state.queued -= 1;
            if state.queued == 0 {
                self.addresses.remove(&address);
            }
        }
    }

    /// The place of the SYN whose turn it is.
    pub fn first(&self) -> Option<Place> {
        let on_time = self.on_time.first().map(|&(_, place)| place);
        on_time.or_else(|| self.late.first().map(|&(_, Reverse(place))| place))
    }

    /// The place of the SYN whose turn comes last, and the turn.
    pub fn last(&self) -> Option<(Turn, Place)> {
        let on_time = self.on_time.last().copied();
        let late = self.late.last();
        let late = late.map(|&(turn, Reverse(place))| (turn, place));
        on_time.into_iter().chain(late).max()
    }

    /// Upper bound of the SYNs that are placed before one with this turn.
    pub fn ahead(&self, turn: Turn) -> usize {
        let turns = usize::try_from(turn - self.current().min(turn)).unwrap_or(usize::MAX);
        turns.saturating_add(1).saturating_mul(self.addresses.len())
    }
}
