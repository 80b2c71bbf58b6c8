//! Starts, faults and stops a whole deployment.

use std::{
    collections::BTreeMap,
    env, fs,
    future::Future,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use anyhow::Context;
use nix::sys::signal::Signal;
use sassafrasmast_core::config::{Change, Service};
use sassafrasmast_wire::ConfigVersion;
use sassafrasmastd::api::{Announced, Health};
use serde_json::Value;
use tokio::sync::{Semaphore, SemaphorePermit};

use super::{Network, Operator, ServiceSettings, Settings};
use crate::{
    caller::{self, Client},
    certificate::{self, Certificate},
    http,
    process::Process,
    upstream,
};

/// Longest time until all processes serve.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Time between two tries while something is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Longest time that a request may take when its caller gives no deadline, in milliseconds.
const DEADLINE_MS: u64 = 10_000;

/// Largest request body in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Deployments of one process that run at once; more would take each other's processor time.
static RUNNING: Semaphore = Semaphore::const_new(3);

/// A whole deployment as child processes, which end with it.
#[derive(Debug)]
pub struct Deployment {
    /// Its sizes.
    pub settings: Settings,
    /// Its addresses.
    pub network: Network,
    /// Its processes by name: `store`, `fabric`, `balancer-0`, `agent-dispatch-0`,
    /// `upstream-dispatch-0` and so on.
    pub processes: BTreeMap<String, Process>,
    directory: PathBuf,
    /// Held while the network is in use.
    _reserved: TcpListener,
    /// Whether settings and logs outlive it.
    keep: bool,
    _running: SemaphorePermit<'static>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.processes.clear();
        if self.keep || std::thread::panicking() {
            eprintln!("logs are kept in {}", self.directory.display());
        } else {
            // Nothing depends on it; the system clears its directory for temporary files.
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

impl Deployment {
    /// Starts the deployment of Reciclumen.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub async fn reciclumen() -> anyhow::Result<Self> {
        Self::start(Settings::reciclumen()).await
    }

    /// Starts the deployment of Refugios.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub async fn refugios() -> anyhow::Result<Self> {
        Self::start(Settings::refugios()).await
    }

    /// Starts all processes, creates zones and services, admits the upstreams and waits until
    /// each service answers.
    ///
    /// # Errors
    ///
    /// Names what could not be started, or what did not get ready in time with its log.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        let mut deployment = Self::prepare(settings).await?;
        deployment.keep = true;
        deployment.launch()?;
        deployment.admit().await?;
        deployment.ready().await?;
        deployment.keep = false;
        Ok(deployment)
    }

    /// Starts the default balancers without any upstream and creates zones and one service.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub async fn without_upstreams() -> anyhow::Result<Self> {
        let settings = Settings {
            services: vec![ServiceSettings::new("dispatch", 0)],
            ..Settings::default()
        };
        let mut deployment = Self::prepare(settings).await?;
        deployment.launch()?;
        deployment.create().await?;
        Ok(deployment)
    }

    /// Makes the directory with the certificate; starts nothing. Waits while many deployments of
    /// this process run.
    ///
    /// # Errors
    ///
    /// If a file cannot be written.
    pub async fn prepare(settings: Settings) -> anyhow::Result<Self> {
        let _running = RUNNING.acquire().await?;
        let (network, reserved) = Network::reserve()?;
        let name = format!("sassafrasmast-{}", network.store().ip());
        let directory = env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        Certificate::generate()?.write(&directory)?;
        Ok(Self {
            settings,
            network,
            processes: BTreeMap::new(),
            directory,
            keep: false,
            _reserved: reserved,
            _running,
        })
    }

    /// Starts all processes.
    ///
    /// # Errors
    ///
    /// Names what could not be started.
    pub fn launch(&mut self) -> anyhow::Result<()> {
        self.launch_store()?;
        self.launch_fabric()?;
        for index in 0..self.settings.balancers {
            self.launch_balancer(index)?;
        }
        for (index, service, number) in self.upstreams() {
            self.launch_upstream(index, &service, number)?;
            self.launch_agent(index, &service, number)?;
        }
        Ok(())
    }

    /// Starts the store.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn launch_store(&mut self) -> anyhow::Result<()> {
        let arguments = vec!["--listen".to_owned(), self.network.store().to_string()];
        self.run("store", "standin-store", arguments)
    }

    fn launch_fabric(&mut self) -> anyhow::Result<()> {
        let mut arguments = vec!["--api".to_owned(), self.network.fabric().to_string()];
        arguments.extend(["--seed".to_owned(), self.settings.seed.to_string()]);
        for service in 0..self.settings.services.len() {
            let bound = self.bound(service, 0..self.settings.balancers);
            let bound: Vec<_> = bound.iter().map(ToString::to_string).collect();
            let address = self.network.service(service);
            arguments.extend([
                "--service".to_owned(),
                format!("{address}={}", bound.join(",")),
            ]);
        }
        self.run("fabric", "standin-fabric", arguments)
    }

    /// Writes the settings of a balancer and starts it.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn launch_balancer(&mut self, index: usize) -> anyhow::Result<()> {
        let network = self.network;
        let mut text = self.common(&format!("balancer-{index}"), index, network.balancer(index));
        let peers = (0..self.settings.balancers).filter(|&other| other != index);
        let peers: Vec<_> = peers.map(|other| network.balancer(other)).collect();
        text += &format!(
            "metrics = \"{}\"\n[role.balancer]\napi = \"{}\"\nstore = {}\npeers = {}\npolicy = \"{}\"\n\
             [role.balancer.bind]\n",
            network.metrics(index),
            network.api(index),
            list(&[network.store()]),
            list(&peers),
            self.settings.policy,
        );
        for service in 0..self.settings.services.len() {
            let bound = network.bound(index, service);
            text += &format!("\"{}\" = \"{bound}\"\n", network.service(service));
        }
        self.daemon(&format!("balancer-{index}"), &text)
    }

    fn launch_upstream(
        &mut self,
        index: usize,
        service: &str,
        number: usize,
    ) -> anyhow::Result<()> {
        let name = format!("upstream-{service}-{number}");
        let mut arguments = vec![
            "--listen".to_owned(),
            self.network.upstream(index).to_string(),
            "--name".to_owned(),
            name.clone(),
            "--seed".to_owned(),
            (self.settings.seed + index as u64).to_string(),
        ];
        arguments.extend(self.settings.upstream.iter().cloned());
        self.run(&name, "standin-upstream", arguments)
    }

    fn launch_agent(&mut self, index: usize, service: &str, number: usize) -> anyhow::Result<()> {
        let name = format!("agent-{service}-{number}");
        let network = self.network;
        let entries = (0..self.settings.balancers).map(|balancer| network.balancer(balancer));
        let mut text = self.common(&name, number, network.agent(index));
        text += &format!(
            "[role.agent]\nservice = \"{service}\"\nupstream = \"{}\"\nslots = 5\n\
             connections = 2000\nentries = {}\nstore = {}\ncertificate = \"{}\"\nkey = \"{}\"\n",
            network.upstream(index),
            list(&entries.collect::<Vec<_>>()),
            list(&[network.store()]),
            self.directory.join("certificate.pem").display(),
            self.directory.join("key.pem").display(),
        );
        self.daemon(&name, &text)
    }

    /// Creates zones and services, and admits all upstreams once they announced themselves.
    ///
    /// # Errors
    ///
    /// If no balancer gets ready, an upstream does not announce itself or a plan is refused.
    pub async fn admit(&self) -> anyhow::Result<()> {
        self.create().await?;
        self.admit_announced(self.upstreams().len()).await
    }

    /// Admits all announced upstreams once there are `wanted` of them.
    ///
    /// # Errors
    ///
    /// If an upstream does not announce itself or the plan is refused.
    pub async fn admit_announced(&self, wanted: usize) -> anyhow::Result<()> {
        let operator = self.operator(0);
        until("all announcements", START_LIMIT, || async {
            let announced = operator.status().await?.announced.len();
            anyhow::ensure!(announced == wanted, "{announced} of {wanted}");
            Ok(())
        })
        .await?;
        let announced = operator.status().await?.announced;
        operator
            .change(announced.into_iter().map(admission).collect())
            .await?;
        Ok(())
    }

    /// Creates zones and services.
    ///
    /// # Errors
    ///
    /// If no balancer gets ready or the plan is refused.
    pub async fn create(&self) -> anyhow::Result<()> {
        let operator = self.operator(0);
        until("a configuration", START_LIMIT, || async {
            anyhow::ensure!(operator.status().await?.version > 0, "none yet");
            Ok(())
        })
        .await?;
        let zones = self.settings.zones.iter().cloned();
        let zones = zones.map(|zone| Change::AddZone { zone });
        let services = self.settings.services.iter().enumerate();
        let services = services.map(|(index, service)| Change::CreateService {
            service: Service {
                name: service.name.clone(),
                address: self.network.service(index),
                feeds: vec!["/feed".to_owned()],
                deadline_ms: DEADLINE_MS,
                max_body_bytes: MAX_BODY_BYTES,
            },
        });
        operator.change(zones.chain(services).collect()).await?;
        Ok(())
    }

    /// Waits until all processes have one configuration, all balancers have heard all agents and
    /// each service answers a caller.
    ///
    /// # Errors
    ///
    /// Names what is not ready in time.
    pub async fn ready(&self) -> anyhow::Result<()> {
        let version = self.operator(0).status().await?.version;
        self.in_force(version, START_LIMIT).await?;
        for balancer in 0..self.settings.balancers {
            let operator = self.operator(balancer);
            until("all agents", START_LIMIT, || async {
                let upstreams = operator.status().await?.upstreams;
                let unknown = upstreams.iter().filter(|u| u.health == Health::Unknown);
                let unknown = unknown.count();
                anyhow::ensure!(unknown == 0, "balancer-{balancer} never heard {unknown}");
                Ok(())
            })
            .await?;
        }
        for (service, settings) in self.settings.services.iter().enumerate() {
            let client = self.client(service)?;
            until(&settings.name, START_LIMIT, || async {
                let mut connection = client.connect().await?;
                connection.fetch_ticket(Duration::from_secs(1)).await?;
                Ok(())
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until a version is in force in all balancers and agents.
    ///
    /// # Errors
    ///
    /// Names the processes that are behind or silent after `limit`.
    pub async fn in_force(&self, version: ConfigVersion, limit: Duration) -> anyhow::Result<()> {
        let operator = self.operator(0);
        let wanted = self.settings.balancers + self.upstreams().len();
        until("the configuration", limit, || async {
            let progress = operator.progress(version).await?;
            let all = progress.asked >= wanted;
            anyhow::ensure!(
                all && progress.behind.is_empty() && progress.silent.is_empty(),
                "version {version} of {wanted} processes: {progress:?}"
            );
            Ok(())
        })
        .await
    }

    /// An operator at the API of a balancer.
    pub fn operator(&self, balancer: usize) -> Operator {
        Operator::new(self.network.api(balancer))
    }

    /// Settings of a caller of a service.
    ///
    /// # Errors
    ///
    /// If the certificate cannot be read.
    pub fn caller(&self, service: usize) -> anyhow::Result<caller::Settings> {
        Ok(caller::Settings {
            server: self.network.service(service),
            certificate: certificate::read(&self.directory.join("certificate.pem"))?,
            ..caller::Settings::default()
        })
    }

    /// A caller of a service.
    ///
    /// # Errors
    ///
    /// If its socket cannot be opened.
    pub fn client(&self, service: usize) -> anyhow::Result<Client> {
        Client::new(self.caller(service)?)
    }

    /// Sets faults of the store.
    ///
    /// # Errors
    ///
    /// If the stand-in does not answer.
    pub async fn fault_store(&self, fault: &crate::store::Fault) -> anyhow::Result<()> {
        set(self.network.store(), fault).await
    }

    /// Sets faults of the fabric.
    ///
    /// # Errors
    ///
    /// If the stand-in does not answer.
    pub async fn fault_fabric(&self, fault: &crate::fabric::Fault) -> anyhow::Result<()> {
        set(self.network.fabric(), fault).await
    }

    /// Sets faults of the `index`-th upstream over all services.
    ///
    /// # Errors
    ///
    /// If the stand-in does not answer.
    pub async fn fault_upstream(
        &self,
        index: usize,
        fault: &upstream::Fault,
    ) -> anyhow::Result<()> {
        set(self.network.upstream(index), fault).await
    }

    /// Counts of the `index`-th upstream over all services.
    ///
    /// # Errors
    ///
    /// If the stand-in does not answer.
    pub async fn counts(&self, index: usize) -> anyhow::Result<upstream::Counts> {
        http::exchange(self.network.upstream(index), "GET", "/standin/counts", None).await
    }

    /// Starts of each booking over all upstreams that answer.
    pub async fn executions(&self) -> BTreeMap<String, u64> {
        let mut executions = BTreeMap::new();
        for (index, _, _) in self.upstreams() {
            let counts = self.counts(index).await.unwrap_or_default();
            for (booking, count) in counts.bookings {
                *executions.entry(booking).or_default() += count;
            }
        }
        executions
    }

    /// Lets the fabric spray to these balancers only.
    ///
    /// # Errors
    ///
    /// If the stand-in does not answer.
    pub async fn spray_to(&self, balancers: &[usize]) -> anyhow::Result<()> {
        let services = 0..self.settings.services.len();
        let balancers = services.map(|service| {
            let bound = self.bound(service, balancers.iter().copied());
            (self.network.service(service), bound)
        });
        let fault = crate::fabric::Fault {
            balancers: balancers.collect(),
            ..crate::fabric::Fault::default()
        };
        self.fault_fabric(&fault).await
    }

    /// A process by name.
    ///
    /// # Errors
    ///
    /// If there is none.
    pub fn process(&mut self, name: &str) -> anyhow::Result<&mut Process> {
        self.processes
            .get_mut(name)
            .with_context(|| format!("no process {name}"))
    }

    /// Sends a signal to a process.
    ///
    /// # Errors
    ///
    /// If there is no such process or the system refuses.
    pub fn signal(&mut self, name: &str, signal: Signal) -> anyhow::Result<()> {
        self.process(name)?.signal(signal)
    }

    /// Index over all services, service and index within it of each upstream.
    pub fn upstreams(&self) -> Vec<(usize, String, usize)> {
        let services = self.settings.services.iter();
        let numbered = services.flat_map(|service| {
            (0..service.upstreams).map(|number| (service.name.clone(), number))
        });
        let indexed = numbered.enumerate();
        indexed
            .map(|(index, (service, number))| (index, service, number))
            .collect()
    }

    /// Availability zone of an upstream, by the name that its answers give.
    ///
    /// # Errors
    ///
    /// If there is no such upstream.
    pub fn zone_of(&self, upstream: &str) -> anyhow::Result<&str> {
        let number = upstream.rsplit_once('-').map(|(_, number)| number.parse());
        let number: usize = number.with_context(|| format!("no upstream {upstream}"))??;
        Ok(self.settings.zone(number))
    }

    /// Directory with settings, logs and the certificate.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Addresses that balancers bind for a service.
    fn bound(&self, service: usize, balancers: impl IntoIterator<Item = usize>) -> Vec<SocketAddr> {
        let bound = balancers.into_iter();
        bound
            .map(|balancer| self.network.bound(balancer, service))
            .collect()
    }

    /// The settings that both roles share.
    fn common(&self, name: &str, number: usize, listen: SocketAddr) -> String {
        let (zone, log) = (self.settings.zone(number), &self.settings.log);
        format!("name = \"{name}\"\nzone = \"{zone}\"\nlisten = \"{listen}\"\nlog = \"{log}\"\n")
    }

    /// Writes settings and starts a daemon with them.
    fn daemon(&mut self, name: &str, settings: &str) -> anyhow::Result<()> {
        let path = self.directory.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let arguments = vec!["--settings".to_owned(), path.display().to_string()];
        self.run(name, "sassafrasmastd", arguments)
    }

    fn run(&mut self, name: &str, binary: &'static str, args: Vec<String>) -> anyhow::Result<()> {
        let log = self.directory.join(format!("{name}.log"));
        let process = Process::start(binary, args, &log)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }
}

/// Sets faults of a stand-in.
async fn set(address: SocketAddr, fault: &impl serde::Serialize) -> anyhow::Result<()> {
    let fault = serde_json::to_value(fault)?;
    let _: Value = http::exchange(address, "POST", "/standin/fault", Some(&fault)).await?;
    Ok(())
}

/// A list of addresses in TOML.
fn list(addresses: &[SocketAddr]) -> String {
    let quoted: Vec<_> = addresses.iter().map(|a| format!("\"{a}\"")).collect();
    format!("[{}]", quoted.join(", "))
}

/// The change that admits an announced upstream.
fn admission(announced: Announced) -> Change {
    Change::Admit {
        service: announced.service,
        zone: announced.zone,
        agent: announced.agent,
        upstream: announced.upstream,
        slots: announced.slots,
        connections: announced.connections,
    }
}

/// Tries `check` until it succeeds.
///
/// # Errors
///
/// The last failure after the time limit.
pub async fn until<F>(
    what: &str,
    limit: Duration,
    mut check: impl FnMut() -> F,
) -> anyhow::Result<()>
where
    F: Future<Output = anyhow::Result<()>>,
{
    let begun = Instant::now();
    loop {
        match check().await {
            Ok(()) => return Ok(()),
            Err(error) if begun.elapsed() >= limit => {
                return Err(error.context(format!("{what}: not within {limit:?}")));
            }
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}
