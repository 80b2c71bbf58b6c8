//! Flows that leave the zone of a balancer, as shown to operators.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Instant,
};

use sassafrasmast_core::flow::{
    ServiceName, ZoneName,
    balancer::{Members, ZoneShare},
};
use serde::{Deserialize, Serialize};

use crate::log::Log;

/// Share from which on flows count as sent away in the log.
const BEGIN_SHARE: f64 = 0.05;

/// Share below which they no longer do. Less than [`BEGIN_SHARE`], so that a share at the edge does
/// not fill the log.
const END_SHARE: f64 = 0.02;

/// Where a balancer places the flows of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePlacement {
    /// The service.
    pub service: String,
    /// Flows that upstreams accepted within the last second.
    pub accepted: u32,
    /// Those of them that were accepted in other zones.
    pub away: u32,
    /// SYNs that wait for a place.
    pub waiting: usize,
    /// Smoothed share of the flows that is sent to other zones, in thousandths.
    pub share_permille: u32,
    /// Why flows are sent away or not.
    pub reason: String,
    /// The zones with upstreams of the service.
    pub zones: Vec<ZoneRoom>,
}

/// Room for new flows of a service in a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRoom {
    /// The zone.
    pub zone: String,
    /// New flows that its upstreams can take, by the last reports of their agents. Agents of earlier
    /// builds, which do not state it, are left out.
    pub room: u64,
    /// The shortest time between sending a SYN there and its acceptance, in microseconds.
    pub path_us: Option<u64>,
}

/// Why flows of a service are sent away or not.
fn reason(own_room: Option<u64>, is_own_out: bool, share: f64) -> &'static str {
    match own_room {
        _ if is_own_out => "own zone is out",
        None => "own zone has no upstream",
        Some(_) if share < END_SHARE => "own zone has room",
        Some(0) => "own zone has no room",
        Some(_) => "own zone was short of room",
    }
}

impl ServicePlacement {
    /// Where a balancer places the flows of each service, by service.
    pub fn of(now: Instant, members: &Members, zones_out: &BTreeSet<ZoneName>) -> Vec<Self> {
        let mut rooms: BTreeMap<(&ServiceName, &ZoneName), u64> = BTreeMap::new();
        for member in members.iter().filter(|member| member.is_usable(now)) {
            let room = rooms.entry((&member.service, &member.zone)).or_default();
            if member.states_room() {
                *room += u64::from(member.report.headroom);
            }
        }
        let own = members.zones().own();
        let of_service = |share: ZoneShare| {
            let zones = rooms
                .iter()
                .filter(|((service, _), _)| **service == share.service);
            Self {
                accepted: share.accepted,
                away: share.away,
                waiting: share.waiting,
                // Far below the range of the type.
                share_permille: (share.share * 1e3).round() as u32,
                reason: reason(
                    rooms.get(&(&share.service, own)).copied(),
                    zones_out.contains(own),
                    share.share,
                )
                .to_owned(),
                zones: zones
                    .map(|((_, zone), &room)| ZoneRoom {
                        zone: zone.to_string(),
                        room,
                        path_us: members
                            .zones()
                            .path(zone)
                            .map(|path| u64::try_from(path.as_micros()).unwrap_or(u64::MAX)),
                    })
                    .collect(),
                service: share.service.to_string(),
            }
        };
        members
            .zones()
            .shares()
            .into_iter()
            .map(of_service)
            .collect()
    }
}

/// Notices when flows begin and end to leave the zone.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    /// Services whose flows are sent away.
    begun: HashMap<ServiceName, Instant>,
}

impl Departures {
    /// Updates the gauge, and logs when flows of a service begin or end to leave the zone.
    pub(crate) fn observe(&mut self, now: Instant, members: &Members, log: &mut Log) {
        for share in members.zones().shares() {
            let service = share.service.to_string();
            metrics::gauge!("sassafrasmast_share_away", "service" => service).set(share.share);
            let fields = || {
                [
                    ("service", (&*share.service).into()),
                    ("share", share.share.into()),
                    ("accepted", share.accepted.into()),
                    ("away", share.away.into()),
                    ("queued", share.waiting.into()),
                ]
            };
            match self.begun.get(&share.service) {
                None if share.share >= BEGIN_SHARE => {
                    self.begun.insert(share.service.clone(), now);
                    log.line(now, "zone_left", fields);
                }
                Some(_) if share.share < END_SHARE => {
                    self.begun.remove(&share.service);
                    log.line(now, "zone_kept", fields);
                }
                _ => {}
            }
        }
    }
}
