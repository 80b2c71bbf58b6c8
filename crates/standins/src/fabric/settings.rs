//! Settings of the fabric.

use std::net::SocketAddr;

use anyhow::Context;

/// Settings of the fabric.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Address of the HTTP API for counters and faults.
    pub api: SocketAddr,
    /// Service addresses, each with the addresses that balancers bind for it.
    pub services: Vec<(SocketAddr, Vec<SocketAddr>)>,
    /// Seed for the choice of balancers and for losses.
    pub seed: u64,
}

impl Settings {
    /// Parses the arguments `--api ADDRESS [--seed N]` and, for each service,
    /// `--service ADDRESS=BALANCER,BALANCER,…`.
    ///
    /// # Errors
    ///
    /// Names the missing, malformed or unknown argument.
    pub fn parse(mut arguments: pico_args::Arguments) -> anyhow::Result<Self> {
        let api = arguments.value_from_str("--api")?;
        let seed = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
        let mut services = Vec::new();
        while let Some(text) = arguments.opt_value_from_str::<_, String>("--service")? {
            let (service, balancers) = text
                .split_once('=')
                .with_context(|| format!("--service {text}: no `=`"))?;
            let balancers = balancers.split(',').map(str::parse);
            services.push((service.parse()?, balancers.collect::<Result<_, _>>()?));
        }
        let rest = arguments.finish();
        anyhow::ensure!(rest.is_empty(), "unknown arguments {rest:?}");
        Ok(Self {
            api,
            services,
            seed,
        })
    }
}
