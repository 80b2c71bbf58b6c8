//! State that the endpoints share.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use sassafrasmast_core::{
    Blackboard,
    config::{Outcome, Plan, Snapshot},
};
use sassafrasmast_wire::{AgentId, Incarnation, Load};

use super::{Confirmed, Error};
use crate::config::{Confirmer, Installer};

/// The latest load reports of the agents.
pub trait Loads: fmt::Debug + Send + Sync + 'static {
    /// Incarnation, load and age of the last report of `agent`; `None` if it never reported.
    fn load(&self, agent: AgentId) -> Option<(Incarnation, Load, Duration)>;
}

/// State of one balancer's API.
#[derive(Debug)]
pub struct Context {
    /// Address for frames and peer calls.
    pub listen: SocketAddr,
    /// Puts configurations in force in this process.
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

    /// Confirms `plan` under the operation id `operation`.
    pub(super) async fn confirm(&self, plan: Plan, operation: &str) -> Result<Confirmed, Error> {
        let (id, base) = (plan.id.clone(), plan.base);
        let outcome = self.confirmer.confirm(plan, operation).await;
        match (&outcome, Error::from_outcome(&outcome)) {
            (&Outcome::Confirmed { version, .. }, _) => {
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
