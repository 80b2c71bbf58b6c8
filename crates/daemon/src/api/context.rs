//! What the endpoints work on.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use sassafrasmast_core::{
    Blackboard,
    config::{Plan, Snapshot, Verdict},
};
use sassafrasmast_wire::{AgentId, Incarnation, Load};

use super::{Confirmed, Error};
use crate::config::{Confirmer, Installer};

/// What the balancer last heard from its agents.
pub trait Loads: fmt::Debug + Send + Sync + 'static {
    /// Incarnation, load and age of the last report of `agent`; `None` if it was never heard.
    fn load(&self, agent: AgentId) -> Option<(Incarnation, Load, Duration)>;
}

/// State of one balancer's API.
#[derive(Debug)]
pub struct Context {
    /// Address for frames and peer calls.
    pub listen: SocketAddr,
    /// The configuration of this process.
    pub installer: Installer,
    /// Confirms plans.
    pub confirmer: Confirmer,
    /// Reports of agents.
    pub loads: Arc<dyn Loads>,
}

impl Context {
    /// The blackboard of the process.
    pub(super) fn blackboard(&self) -> &Arc<Blackboard> {
        self.installer.blackboard()
    }

    /// The configuration in force.
    pub(super) fn config(&self) -> Result<Arc<Snapshot>, Error> {
        self.blackboard().config().ok_or(Error::NotReady)
    }

    /// Confirms `plan` as `operation`.
    pub(super) async fn confirm(&self, plan: Plan, operation: &str) -> Result<Confirmed, Error> {
        let (id, base) = (plan.id.clone(), plan.base);
        let verdict = self.confirmer.confirm(plan, operation).await;
        match (&verdict, Error::of_verdict(&verdict)) {
            (&Verdict::Confirmed { version, .. }, _) => {
                log::info!("api: plan {id} is confirmed as version {version}.");
                Ok(Confirmed { version })
            }
            (_, Some(error)) => {
                log::warn!("api: plan {id} on version {base} is not confirmed: {error}.");
                Err(error)
            }
            (_, None) => Err(Error::Unsettled),
        }
    }
}
