//! Settings of a deployment.

use sassafrasmast_core::balancer::Policy;

/// Settings of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Availability zones.
    pub zones: Vec<String>,
    /// Balancers, spread over the zones.
    pub balancers: usize,
    /// Services, with their upstreams spread over the zones.
    pub services: Vec<ServiceSettings>,
    /// Policy by which balancers place new flows.
    pub policy: Policy,
    /// Additional command-line arguments of each upstream.
    pub upstream_arguments: Vec<String>,
    /// Log level of the daemons.
    pub log_level: String,
    /// Seed of the fabric and, plus its index, of each upstream.
    pub seed: u64,
}

/// A service and the number of its upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Name.
    pub name: String,
    /// Number of upstreams.
    pub upstreams: usize,
}

impl Default for Settings {
    /// Three zones, three balancers, two services with three and two upstreams.
    fn default() -> Self {
        Self {
            zones: ["aguada", "cerro", "prado"].map(str::to_owned).to_vec(),
            balancers: 3,
            services: vec![
                ServiceSettings::new("dispatch", 3),
                ServiceSettings::new("manifests", 2),
            ],
            policy: Policy::default(),
            upstream_arguments: Vec::new(),
            log_level: "info".to_owned(),
            seed: 1,
        }
    }
}

impl ServiceSettings {
    /// A service of `upstreams` upstreams.
    pub fn new(name: &str, upstreams: usize) -> Self {
        Self {
            name: name.to_owned(),
            upstreams,
        }
    }
}

impl Settings {
    /// Deployment of Reciclumen: dispatch on 7 upstreams, manifest intake on 3.
    ///
    /// ```
    /// use sassafrasmast_standins::deployment::Settings;
    /// assert_eq!(Settings::reciclumen().zones.len(), 3);
    /// ```
    pub fn reciclumen() -> Self {
        Self {
            services: vec![
                ServiceSettings::new("dispatch", 7),
                ServiceSettings::new("manifests", 3),
            ],
            ..Self::default()
        }
    }

    /// Deployment of Refugios: booking on 7 upstreams, manifest intake on 3.
    ///
    /// ```
    /// use sassafrasmast_standins::deployment::Settings;
    /// assert_eq!(Settings::refugios().services[0].upstreams, 7);
    /// ```
    pub fn refugios() -> Self {
        Self {
            zones: ["antigua", "mixco", "palin"].map(str::to_owned).to_vec(),
            services: vec![
                ServiceSettings::new("booking", 7),
                ServiceSettings::new("manifests", 3),
            ],
            ..Self::default()
        }
    }

    /// Zone of the `index`-th balancer, or of the `index`-th upstream of a service.
    pub fn zone(&self, index: usize) -> &str {
        &self.zones[index % self.zones.len()]
    }
}
