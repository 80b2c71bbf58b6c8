//! Faults and operators' changes during a scenario.

use nix::sys::signal::Signal;
use sassafrasmast_core::config::Change;
use sassafrasmast_standins::{deployment::Deployment, store, upstream};
use serde::Deserialize;

/// A fault or an operators' change at a given time.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Fault {
    /// Seconds after the start of the measurement.
    pub at_s: f64,
    /// The fault or change.
    #[serde(flatten)]
    pub event: Event,
}

/// Kinds of faults and operators' changes.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Event {
    /// Operators take a zone out.
    ZoneOut {
        /// Index of the zone.
        zone: usize,
    },
    /// Operators bring a zone back.
    ZoneIn {
        /// Index of the zone.
        zone: usize,
    },
    /// An upstream returns to a cold start.
    Cold {
        /// Index of the upstream.
        upstream: usize,
    },
    /// The service times of an upstream are multiplied by a factor; 1 is its normal speed.
    Slow {
        /// Index of the upstream.
        upstream: usize,
        /// The factor.
        factor: f64,
    },
    /// The health and load endpoints of an upstream always report an idle and healthy upstream.
    Lie {
        /// Index of the upstream.
        upstream: usize,
    },
    /// The platform's store goes down or comes back.
    Store {
        /// Whether it is down.
        down: bool,
    },
    /// A balancer is killed and the fabric sends to all others.
    Kill {
        /// Index of the balancer.
        balancer: usize,
    },
    /// A killed balancer is started again and the fabric sends to all balancers.
    Join {
        /// Index of the balancer.
        balancer: usize,
    },
}

impl Event {
    /// Injects the fault or makes the change.
    ///
    /// # Errors
    ///
    /// If a stand-in or the operators' API does not answer.
    pub async fn apply(&self, deployment: &mut Deployment) -> anyhow::Result<()> {
        match self {
            Self::ZoneOut { zone } => {
                let zone = deployment.settings.zone(*zone).to_owned();
                deployment
                    .operator_client(0)
                    .change(vec![Change::ZoneOut { zone }])
                    .await?;
            }
            Self::ZoneIn { zone } => {
                let zone = deployment.settings.zone(*zone).to_owned();
                deployment
                    .operator_client(0)
                    .change(vec![Change::ZoneIn { zone }])
                    .await?;
            }
            Self::Cold { upstream } => {
                let fault = upstream::Fault {
                    cold: true,
                    ..upstream::Fault::default()
                };
                deployment.set_upstream_fault(*upstream, &fault).await?;
            }
            Self::Slow { upstream, factor } => {
                let fault = upstream::Fault {
                    slow: *factor,
                    ..upstream::Fault::default()
                };
                deployment.set_upstream_fault(*upstream, &fault).await?;
            }
            Self::Lie { upstream } => {
                let fault = upstream::Fault {
                    lie: true,
                    ..upstream::Fault::default()
                };
                deployment.set_upstream_fault(*upstream, &fault).await?;
            }
            Self::Store { down } => {
                let fault = store::Fault {
                    down: *down,
                    ..store::Fault::default()
                };
                deployment.set_store_fault(&fault).await?;
            }
            Self::Kill { balancer } => {
                deployment.signal(&format!("balancer-{balancer}"), Signal::SIGKILL)?;
                let all = 0..deployment.settings.balancers;
                let remaining: Vec<_> = all.filter(|index| index != balancer).collect();
                deployment.set_fabric_balancers(&remaining).await?;
            }
            Self::Join { balancer } => {
                deployment.launch_balancer(*balancer)?;
                let all: Vec<_> = (0..deployment.settings.balancers).collect();
                deployment.set_fabric_balancers(&all).await?;
            }
        }
        Ok(())
    }
}
