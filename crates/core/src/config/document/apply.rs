//! Applying changes to a document.

use sassafrasmast_wire::{AgentId, KeyPhase, ServiceId, keys::Secret};

use super::Document;
use crate::config::{Change, Error, Service, Upstream, Zone, ZoneName};

impl Document {
    /// The document after `changes`, with the next version and validated. `new_key` is added if the
    /// changes add a key.
    ///
    /// # Errors
    ///
    /// The first rule of the configuration that the changes violate.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use sassafrasmast_core::config::{Change, Document, Secrets};
    /// let secrets = Secrets {
    ///     sealing: 0, phases: BTreeMap::from([(0, [1; 32])]), reset: [2; 32],
    /// };
    /// let first = Document::first(secrets);
    /// let changes = [Change::AddZone { zone: "antigua".to_owned() }];
    /// let second = first.apply(&changes, &[3; 32]).unwrap();
    /// assert_eq!(second.version, 2);
    /// assert!(!second.zones["antigua"].out);
    /// ```
    pub fn apply(&self, changes: &[Change], new_key: &Secret) -> Result<Self, Error> {
        let key_changes = changes
            .iter()
            .filter(|change| matches!(change, Change::RotateKey | Change::RemoveKey { .. }));
        if key_changes.count() > 1 {
            return Err(Error::KeysTwice);
        }
        let mut next = self.clone();
        next.version = self.version.checked_add(1).ok_or(Error::VersionSpent {
            version: self.version,
        })?;
        for change in changes {
            next.apply_change(change, new_key)?;
        }
        next.validate()?;
        Ok(next)
    }

    /// Applies one change without validating the resulting document.
    pub(in crate::config) fn apply_change(
        &mut self,
        change: &Change,
        new_key: &Secret,
    ) -> Result<(), Error> {
        match change {
            Change::AddZone { zone } => self.add_zone(zone),
            Change::ZoneOut { zone } => self.set_zone_out(zone, true),
            Change::ZoneIn { zone } => self.set_zone_out(zone, false),
            Change::RemoveZone { zone } => self.remove_zone(zone),
            Change::CreateService { service } => self.create_service(service),
            Change::SetService { service } => self.set_service(service),
            Change::RemoveService { service } => self.remove_service(service),
            Change::Admit { .. } => self.admit(change),
            Change::Drain { agent } => self.set_draining(*agent, true),
            Change::Undrain { agent } => self.set_draining(*agent, false),
            Change::RemoveUpstream { agent } => self.remove_upstream(*agent),
            Change::RotateKey => {
                self.rotate_key(new_key);
                Ok(())
            }
            Change::RemoveKey { phase } => self.remove_key(*phase),
        }
    }

    fn add_zone(&mut self, zone: &ZoneName) -> Result<(), Error> {
        if self.zones.contains_key(zone) {
            return Err(Error::ZoneExists { zone: zone.clone() });
        }
        self.zones.insert(zone.clone(), Zone::default());
        Ok(())
    }

    fn set_zone_out(&mut self, name: &ZoneName, out: bool) -> Result<(), Error> {
        let zone = self
            .zones
            .get_mut(name)
            .ok_or_else(|| Error::ZoneUnknown { zone: name.clone() })?;
        if zone.out == out {
            return Err(Error::ZoneUnchanged {
                zone: name.clone(),
                out,
            });
        }
        zone.out = out;
        Ok(())
    }

    fn remove_zone(&mut self, zone: &ZoneName) -> Result<(), Error> {
        let upstreams = self.upstreams.values().filter(|u| u.zone == *zone).count();
        if upstreams > 0 {
            return Err(Error::ZoneInUse {
                zone: zone.clone(),
                upstreams,
            });
        }
        self.zones
            .remove(zone)
            .map(|_| ())
            .ok_or_else(|| Error::ZoneUnknown { zone: zone.clone() })
    }

    fn create_service(&mut self, service: &Service) -> Result<(), Error> {
        if self.service_id(&service.name).is_some() {
            return Err(Error::ServiceExists {
                service: service.name.clone(),
            });
        }
        let id = self.next_service;
        self.next_service = id.checked_add(1).ok_or_else(|| Error::IdsSpent {
            what: "service".to_owned(),
        })?;
        self.services.insert(id, service.clone());
        Ok(())
    }

    fn set_service(&mut self, service: &Service) -> Result<(), Error> {
        let id = self.require_service(&service.name)?;
        let previous = self.services.insert(id, service.clone());
        if previous.as_ref() == Some(service) {
            return Err(Error::ServiceUnchanged {
                service: service.name.clone(),
            });
        }
        Ok(())
    }

    fn remove_service(&mut self, service: &str) -> Result<(), Error> {
        let id = self.require_service(service)?;
        let upstreams = self.upstreams.values().filter(|u| u.service == id).count();
        if upstreams > 0 {
            return Err(Error::ServiceInUse {
                service: service.to_owned(),
                upstreams,
            });
        }
        self.services.remove(&id);
        Ok(())
    }

    fn admit(&mut self, change: &Change) -> Result<(), Error> {
        let Change::Admit {
            service,
            zone,
            agent,
            upstream,
            slots,
            connections,
        } = change
        else {
            return Ok(());
        };
        let service = self.require_service(service)?;
        if !self.zones.contains_key(zone) {
            return Err(Error::ZoneUnknown { zone: zone.clone() });
        }
        let id = self.next_agent;
        self.next_agent = id.checked_add(1).ok_or_else(|| Error::IdsSpent {
            what: "agent".to_owned(),
        })?;
        let admitted = Upstream {
            service,
            zone: zone.clone(),
            agent: *agent,
            upstream: *upstream,
            slots: *slots,
            connections: *connections,
            draining: false,
        };
        self.upstreams.insert(id, admitted);
        Ok(())
    }

    fn set_draining(&mut self, agent: AgentId, draining: bool) -> Result<(), Error> {
        let upstream = self
            .upstreams
            .get_mut(&agent)
            .ok_or(Error::AgentUnknown { agent })?;
        if upstream.draining == draining {
            return Err(Error::DrainUnchanged { agent, draining });
        }
        upstream.draining = draining;
        Ok(())
    }

    fn remove_upstream(&mut self, agent: AgentId) -> Result<(), Error> {
        self.upstreams
            .remove(&agent)
            .map(|_| ())
            .ok_or(Error::AgentUnknown { agent })
    }

    fn rotate_key(&mut self, new_key: &Secret) {
        match self.secrets.pending_phase() {
            Some(phase) => self.secrets.sealing = phase,
            None => {
                let phase = self.secrets.next_phase();
                self.secrets.phases.insert(phase, *new_key);
            }
        }
    }

    fn remove_key(&mut self, phase: KeyPhase) -> Result<(), Error> {
        if phase == self.secrets.sealing {
            return Err(Error::KeyInUse { phase });
        }
        self.secrets
            .phases
            .remove(&phase)
            .map(|_| ())
            .ok_or(Error::KeyUnknown { phase })
    }

    fn require_service(&self, name: &str) -> Result<ServiceId, Error> {
        self.service_id(name).ok_or_else(|| Error::ServiceUnknown {
            service: name.to_owned(),
        })
    }
}
