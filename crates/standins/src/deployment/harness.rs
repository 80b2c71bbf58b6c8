//! Starts a complete deployment, injects faults and stops it.

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

use super::{Network, OperatorClient, ServiceSettings, Settings};
use crate::{
    caller::{self, Client},
    certificate::{self, Certificate},
    http,
    process::Process,
    upstream,
};

/// Time limit for all processes to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Deadline of requests whose caller gives none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Largest request body that the services accept, in bytes.
const SERVICE_MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Limits the deployments that one process runs at once; with more, they compete for processor
/// time.
static DEPLOYMENT_PERMITS: Semaphore = Semaphore::const_new(3);

/// A complete deployment as child processes, which are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// Settings, such as the numbers of zones, balancers and upstreams.
    pub settings: Settings,
    /// Addresses of the processes.
    pub network: Network,
    /// Processes by name: `store`, `fabric`, `balancer-0`, `agent-dispatch-0`,
    /// `upstream-dispatch-0` and so on.
    pub processes: BTreeMap<String, Process>,
    directory: PathBuf,
    /// Bound while the network is in use, see [`Network::reserve`].
    _network_lock: TcpListener,
    /// Whether settings and logs are kept after the deployment is dropped.
    keep_files: bool,
    _permit: SemaphorePermit<'static>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.processes.clear();
        if self.keep_files || std::thread::panicking() {
            eprintln!("settings and logs are kept in {}", self.directory.display());
        } else {
            // A leftover directory does no harm; the system clears its temporary files.
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

impl Deployment {
    /// Starts a deployment with [`Settings::reciclumen`].
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub async fn reciclumen() -> anyhow::Result<Self> {
        Self::start(Settings::reciclumen()).await
    }

    /// Starts a deployment with [`Settings::refugios`].
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub async fn refugios() -> anyhow::Result<Self> {
        Self::start(Settings::refugios()).await
    }

    /// Starts all processes, creates zones and services, admits the upstreams and waits until
    /// each service accepts connections.
    ///
    /// # Errors
    ///
    /// Names what could not be started or was not ready in time. Settings and logs are then kept.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        let mut deployment = Self::prepare(settings).await?;
        deployment.keep_files = true;
        deployment.start_processes()?;
        deployment.admit().await?;
        deployment.wait_until_ready().await?;
        deployment.keep_files = false;
        Ok(deployment)
    }

    /// Starts the default balancers without upstreams and creates zones and one service.
    ///
    /// # Errors
    ///
    /// If a process cannot be started, no balancer is ready in time or the plan is refused.
    /// Settings and logs are then removed.
    pub async fn without_upstreams() -> anyhow::Result<Self> {
        let settings = Settings {
            services: vec![ServiceSettings::new("dispatch", 0)],
            ..Settings::default()
        };
        let mut deployment = Self::prepare(settings).await?;
        deployment.start_processes()?;
        deployment.create_zones_and_services().await?;
        Ok(deployment)
    }

    /// Reserves a network and writes the certificate, without starting a process. Waits while the
    /// limit of running deployments is reached.
    ///
    /// # Errors
    ///
    /// If a file cannot be written.
    pub async fn prepare(settings: Settings) -> anyhow::Result<Self> {
        let _permit = DEPLOYMENT_PERMITS.acquire().await?;
        let (network, network_lock) = Network::reserve()?;
        let name = format!("sassafrasmast-{}", network.store().ip());
        let directory = env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        Certificate::generate()?.write(&directory)?;
        Ok(Self {
            settings,
            network,
            processes: BTreeMap::new(),
            directory,
            keep_files: false,
            _network_lock: network_lock,
            _permit,
        })
    }

    /// Starts all processes.
    ///
    /// # Errors
    ///
    /// If a process cannot be started.
    pub fn start_processes(&mut self) -> anyhow::Result<()> {
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
        self.start_process("store", "standin-store", arguments)
    }

    fn launch_fabric(&mut self) -> anyhow::Result<()> {
        let mut arguments = vec!["--api".to_owned(), self.network.fabric().to_string()];
        arguments.extend(["--seed".to_owned(), self.settings.seed.to_string()]);
        for service in 0..self.settings.services.len() {
            let bound = self.bind_addresses(service, 0..self.settings.balancers);
            let bound: Vec<_> = bound.iter().map(ToString::to_string).collect();
            let address = self.network.service(service);
            arguments.extend([
                "--service".to_owned(),
                format!("{address}={}", bound.join(",")),
            ]);
        }
        self.start_process("fabric", "standin-fabric", arguments)
    }

    /// Writes the settings of a balancer and starts it.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn launch_balancer(&mut self, index: usize) -> anyhow::Result<()> {
        let network = self.network;
        let mut text =
            self.common_settings(&format!("balancer-{index}"), index, network.balancer(index));
        let peers = (0..self.settings.balancers).filter(|&other| other != index);
        let peers: Vec<_> = peers.map(|other| network.balancer(other)).collect();
        text += &format!(
            "metrics = \"{}\"\n[role.balancer]\napi = \"{}\"\nstore = {}\npeers = {}\npolicy = \"{}\"\n\
             [role.balancer.bind]\n",
            network.metrics(index),
            network.api(index),
            toml_list(&[network.store()]),
            toml_list(&peers),
            self.settings.policy,
        );
        for service in 0..self.settings.services.len() {
            let bound = network.bind_address(index, service);
            text += &format!("\"{}\" = \"{bound}\"\n", network.service(service));
        }
        self.start_daemon(&format!("balancer-{index}"), &text)
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
        arguments.extend(self.settings.upstream_arguments.iter().cloned());
        self.start_process(&name, "standin-upstream", arguments)
    }

    fn launch_agent(&mut self, index: usize, service: &str, number: usize) -> anyhow::Result<()> {
        let name = format!("agent-{service}-{number}");
        let network = self.network;
        let entries = (0..self.settings.balancers).map(|balancer| network.balancer(balancer));
        let mut text = self.common_settings(&name, number, network.agent(index));
        text += &format!(
            "[role.agent]\nservice = \"{service}\"\nupstream = \"{}\"\nslots = 5\n\
             connections = 2000\nentries = {}\nstore = {}\ncertificate = \"{}\"\nkey = \"{}\"\n",
            network.upstream(index),
            toml_list(&entries.collect::<Vec<_>>()),
            toml_list(&[network.store()]),
            self.directory.join("certificate.pem").display(),
            self.directory.join("key.pem").display(),
        );
        self.start_daemon(&name, &text)
    }

    /// Creates zones and services, and admits all upstreams once they are announced.
    ///
    /// # Errors
    ///
    /// If no balancer is ready in time, an upstream is not announced in time or a plan is refused.
    pub async fn admit(&self) -> anyhow::Result<()> {
        self.create_zones_and_services().await?;
        self.admit_announced(self.upstreams().len()).await
    }

    /// Waits until `wanted` upstreams are announced and admits them.
    ///
    /// # Errors
    ///
    /// If an upstream is not announced in time or the plan is refused.
    pub async fn admit_announced(&self, wanted: usize) -> anyhow::Result<()> {
        let operator = self.operator_client(0);
        wait_until("announcement of all upstreams", START_TIMEOUT, || async {
            let announced = operator.status().await?.announced.len();
            anyhow::ensure!(
                announced == wanted,
                "{announced} of {wanted} upstreams are announced"
            );
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
    /// If no balancer is ready in time or the plan is refused.
    pub async fn create_zones_and_services(&self) -> anyhow::Result<()> {
        let operator = self.operator_client(0);
        wait_until("a first configuration", START_TIMEOUT, || async {
            anyhow::ensure!(
                operator.status().await?.version > 0,
                "balancer-0 has no configuration yet"
            );
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
                deadline_ms: DEFAULT_DEADLINE_MS,
                max_body_bytes: SERVICE_MAX_BODY_BYTES,
            },
        });
        operator.change(zones.chain(services).collect()).await?;
        Ok(())
    }

    /// Waits until all processes have the latest configuration, all balancers have received the
    /// health of all upstreams and each service gives a ticket to a caller.
    ///
    /// # Errors
    ///
    /// Names what is not ready in time.
    pub async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let version = self.operator_client(0).status().await?.version;
        self.wait_for_version(version, START_TIMEOUT).await?;
        for balancer in 0..self.settings.balancers {
            let operator = self.operator_client(balancer);
            wait_until("health of all upstreams", START_TIMEOUT, || async {
                let upstreams = operator.status().await?.upstreams;
                let unknown = upstreams.iter().filter(|u| u.health == Health::Unknown);
                let unknown = unknown.count();
                anyhow::ensure!(
                    unknown == 0,
                    "balancer-{balancer} has received no health of {unknown} upstreams"
                );
                Ok(())
            })
            .await?;
        }
        for (service, settings) in self.settings.services.iter().enumerate() {
            let client = self.client(service)?;
            wait_until(
                &format!("a ticket of service {}", settings.name),
                START_TIMEOUT,
                || async {
                    let mut connection = client.connect().await?;
                    connection.fetch_ticket(Duration::from_secs(1)).await?;
                    Ok(())
                },
            )
            .await?;
        }
        Ok(())
    }

    /// Waits until a configuration version is in force in all balancers and agents.
    ///
    /// # Errors
    ///
    /// Names the processes that are behind or silent after `limit`.
    pub async fn wait_for_version(
        &self,
        version: ConfigVersion,
        limit: Duration,
    ) -> anyhow::Result<()> {
        let operator = self.operator_client(0);
        let wanted = self.settings.balancers + self.upstreams().len();
        wait_until("the configuration in force everywhere", limit, || async {
            let progress = operator.progress(version).await?;
            let all = progress.asked >= wanted;
            anyhow::ensure!(
                all && progress.behind.is_empty() && progress.silent.is_empty(),
                "version {version} is not in force in all {wanted} processes: {progress:?}"
            );
            Ok(())
        })
        .await
    }

    /// A client of the operators' API of a balancer.
    pub fn operator_client(&self, balancer: usize) -> OperatorClient {
        OperatorClient::new(self.network.api(balancer))
    }

    /// Settings of a caller of a service.
    ///
    /// # Errors
    ///
    /// If the certificate cannot be read.
    pub fn caller_settings(&self, service: usize) -> anyhow::Result<caller::Settings> {
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
        Client::new(self.caller_settings(service)?)
    }

    /// Sets faults of the store.
    ///
    /// # Errors
    ///
    /// If the stand-in does not answer.
    pub async fn set_store_fault(&self, fault: &crate::store::Fault) -> anyhow::Result<()> {
        set_fault(self.network.store(), fault).await
    }

    /// Sets faults of the fabric.
    ///
    /// # Errors
    ///
    /// If the stand-in does not answer.
    pub async fn set_fabric_fault(&self, fault: &crate::fabric::Fault) -> anyhow::Result<()> {
        set_fault(self.network.fabric(), fault).await
    }

    /// Sets faults of the `index`-th upstream over all services.
    ///
    /// # Errors
    ///
    /// If the stand-in does not answer.
    pub async fn set_upstream_fault(
        &self,
        index: usize,
        fault: &upstream::Fault,
    ) -> anyhow::Result<()> {
        set_fault(self.network.upstream(index), fault).await
    }

    /// Counts of the `index`-th upstream over all services.
    ///
    /// # Errors
    ///
    /// If the stand-in does not answer.
    pub async fn upstream_counts(&self, index: usize) -> anyhow::Result<upstream::Counts> {
        http::call_json(self.network.upstream(index), "GET", "/standin/counts", None).await
    }

    /// Executions of each booking, summed over all upstreams that answer.
    pub async fn executions(&self) -> BTreeMap<String, u64> {
        let mut executions = BTreeMap::new();
        for (index, _, _) in self.upstreams() {
            let counts = self.upstream_counts(index).await.unwrap_or_default();
            for (booking, count) in counts.bookings {
                *executions.entry(booking).or_default() += count;
            }
        }
        executions
    }

    /// Makes the fabric send to these balancers only. Replaces all other faults of the fabric.
    ///
    /// # Errors
    ///
    /// If the stand-in does not answer.
    pub async fn set_fabric_balancers(&self, balancers: &[usize]) -> anyhow::Result<()> {
        let services = 0..self.settings.services.len();
        let balancers = services.map(|service| {
            let bound = self.bind_addresses(service, balancers.iter().copied());
            (self.network.service(service), bound)
        });
        let fault = crate::fabric::Fault {
            balancers: balancers.collect(),
            ..crate::fabric::Fault::default()
        };
        self.set_fabric_fault(&fault).await
    }

    /// The process of the given name.
    ///
    /// # Errors
    ///
    /// If there is none.
    pub fn process(&mut self, name: &str) -> anyhow::Result<&mut Process> {
        self.processes
            .get_mut(name)
            .with_context(|| format!("the deployment has no process {name}"))
    }

    /// Sends a signal to a process.
    ///
    /// # Errors
    ///
    /// If there is no such process or the system refuses.
    pub fn signal(&mut self, name: &str, signal: Signal) -> anyhow::Result<()> {
        self.process(name)?.signal(signal)
    }

    /// Lists the upstreams: index over all services, name of the service, and index within it.
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

    /// Availability zone of an upstream, by the name of the upstream in its answers.
    ///
    /// # Errors
    ///
    /// If the name does not end in a number.
    pub fn zone_of(&self, upstream: &str) -> anyhow::Result<&str> {
        let number = upstream.rsplit_once('-').map(|(_, number)| number.parse());
        let number: usize = number
            .with_context(|| format!("upstream name {upstream} does not end in a number"))??;
        Ok(self.settings.zone(number))
    }

    /// Directory with settings, logs and the certificate.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Addresses that balancers bind for a service.
    fn bind_addresses(
        &self,
        service: usize,
        balancers: impl IntoIterator<Item = usize>,
    ) -> Vec<SocketAddr> {
        let bound = balancers.into_iter();
        bound
            .map(|balancer| self.network.bind_address(balancer, service))
            .collect()
    }

    /// Settings that balancers and agents share, as TOML.
    fn common_settings(&self, name: &str, number: usize, listen: SocketAddr) -> String {
        let (zone, log) = (self.settings.zone(number), &self.settings.log_level);
        format!("name = \"{name}\"\nzone = \"{zone}\"\nlisten = \"{listen}\"\nlog = \"{log}\"\n")
    }

    /// Writes settings to a file and starts a daemon with it.
    fn start_daemon(&mut self, name: &str, settings: &str) -> anyhow::Result<()> {
        let path = self.directory.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let arguments = vec!["--settings".to_owned(), path.display().to_string()];
        self.start_process(name, "sassafrasmastd", arguments)
    }

    fn start_process(
        &mut self,
        name: &str,
        binary: &'static str,
        args: Vec<String>,
    ) -> anyhow::Result<()> {
        let log = self.directory.join(format!("{name}.log"));
        let process = Process::start(binary, args, &log)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }
}

/// Sets faults of a stand-in.
async fn set_fault(address: SocketAddr, fault: &impl serde::Serialize) -> anyhow::Result<()> {
    let fault = serde_json::to_value(fault)?;
    let _: Value = http::call_json(address, "POST", "/standin/fault", Some(&fault)).await?;
    Ok(())
}

/// Formats addresses as a TOML array.
fn toml_list(addresses: &[SocketAddr]) -> String {
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

/// Repeats `check` until it succeeds.
///
/// # Errors
///
/// The last error of `check` once `limit` has passed.
pub async fn wait_until<F>(
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
                return Err(error.context(format!("{what}: condition not met within {limit:?}")));
            }
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}
