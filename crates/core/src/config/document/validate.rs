//! Validation of documents.

use std::{collections::BTreeMap, net::SocketAddr};

use super::Document;
use crate::config::{Error, Service};

/// Longest zone or service name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Largest document in bytes of JSON: the store limits a value to one megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Largest number of keys in a document, the sealing key included.
const MAX_KEYS: usize = 4;

impl Document {
    /// Checks every rule of the configuration.
    ///
    /// # Errors
    ///
    /// The first rule that the document violates.
    pub fn validate(&self) -> Result<(), Error> {
        if self.version == 0 {
            return Err(Error::VersionZero);
        }
        for zone in self.zones.keys() {
            check_name(zone)?;
        }
        self.validate_services()?;
        self.validate_upstreams()?;
        self.validate_counters()?;
        self.validate_secrets()?;
        self.validate_size()
    }

    fn validate_services(&self) -> Result<(), Error> {
        let mut names = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        for service in self.services.values() {
            check_service(service)?;
            if names.insert(&service.name, ()).is_some() {
                return Err(Error::ServiceExists {
                    service: service.name.clone(),
                });
            }
            if let Some(first) = addresses.insert(service.address, &service.name) {
                return Err(Error::ServiceAddressShared {
                    first: first.clone(),
                    second: service.name.clone(),
                    address: service.address,
                });
            }
        }
        Ok(())
    }

    fn validate_upstreams(&self) -> Result<(), Error> {
        let mut agents = BTreeMap::new();
        let mut upstreams = BTreeMap::new();
        for (&agent, upstream) in &self.upstreams {
            let subject = || format!("agent {agent}");
            check_address(upstream.agent, subject)?;
            check_address(upstream.upstream, || {
                format!("the upstream of agent {agent}")
            })?;
            check_limit("slots", upstream.slots.into(), subject)?;
            check_limit("connections", upstream.connections.into(), subject)?;
            if !self.services.contains_key(&upstream.service) {
                let service = upstream.service;
                return Err(Error::ServiceMissing { agent, service });
            }
            if !self.zones.contains_key(&upstream.zone) {
                let zone = upstream.zone.clone();
                return Err(Error::ZoneMissing { agent, zone });
            }
            if let Some(first) = agents.insert(upstream.agent, agent) {
                return Err(Error::AgentAddressShared {
                    first,
                    second: agent,
                    address: upstream.agent,
                });
            }
            if let Some(first) = upstreams.insert(upstream.upstream, agent) {
                return Err(Error::UpstreamShared {
                    first,
                    second: agent,
                    address: upstream.upstream,
                });
            }
        }
        Ok(())
    }

    fn validate_counters(&self) -> Result<(), Error> {
        let service = self.services.last_key_value().map(|(&id, _)| id.into());
        check_counter("service", service, self.next_service.into())?;
        let agent = self.upstreams.last_key_value().map(|(&id, _)| id);
        check_counter("agent", agent, self.next_agent)
    }

    fn validate_secrets(&self) -> Result<(), Error> {
        let secrets = &self.secrets;
        if !secrets.phases.contains_key(&secrets.sealing) {
            return Err(Error::SealingKey {
                phase: secrets.sealing,
            });
        }
        if secrets.phases.len() > MAX_KEYS {
            return Err(Error::TooManyKeys {
                count: secrets.phases.len(),
                limit: MAX_KEYS,
            });
        }
        let mut keys = BTreeMap::new();
        for (&second, key) in &secrets.phases {
            if let Some(first) = keys.insert(key, second) {
                return Err(Error::KeyShared { first, second });
            }
        }
        Ok(())
    }

    fn validate_size(&self) -> Result<(), Error> {
        let bytes = serde_json::to_vec(self).map_or(usize::MAX, |text| text.len());
        if bytes > MAX_DOCUMENT_BYTES {
            return Err(Error::TooLarge {
                bytes,
                limit: MAX_DOCUMENT_BYTES,
            });
        }
        Ok(())
    }
}

fn check_service(service: &Service) -> Result<(), Error> {
    check_name(&service.name)?;
    let subject = || format!("service {}", service.name);
    check_address(service.address, subject)?;
    check_limit("deadline-ms", service.deadline_ms, subject)?;
    check_limit("max-body-bytes", service.max_body_bytes, subject)?;
    match service.feeds.iter().find(|path| !path.starts_with('/')) {
        Some(path) => Err(Error::FeedPath {
            service: service.name.clone(),
            path: path.clone(),
        }),
        None => Ok(()),
    }
}

fn check_name(name: &str) -> Result<(), Error> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        return Err(Error::Name {
            name: name.to_owned(),
        });
    }
    Ok(())
}

fn check_address(address: SocketAddr, subject: impl Fn() -> String) -> Result<(), Error> {
    let ip = address.ip();
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err(Error::Address {
            address,
            what: subject(),
        });
    }
    Ok(())
}

fn check_limit(limit: &str, value: u64, subject: impl Fn() -> String) -> Result<(), Error> {
    if value == 0 {
        return Err(Error::ZeroLimit {
            limit: limit.to_owned(),
            what: subject(),
        });
    }
    Ok(())
}

fn check_counter(kind: &str, last: Option<u32>, next: u32) -> Result<(), Error> {
    match last {
        Some(id) if id >= next => Err(Error::Counter {
            what: kind.to_owned(),
            id,
            next,
        }),
        _ => Ok(()),
    }
}
