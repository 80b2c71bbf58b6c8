//! Parsing of the command line into a [`Command`].

mod intent;

use std::{env, net::SocketAddr, path::PathBuf, time::Duration};

use anyhow::{Context, bail, ensure};
use pico_args::Arguments;

pub use self::intent::Intent;
use crate::{
    check::{self, Against},
    help,
};

/// Environment variable with the default API addresses, separated by commas.
const API_VARIABLE: &str = "SASSAFRASMAST_API";

/// What `--against` names instead of a file for the configuration in force.
const IN_FORCE: &str = "in-force";

/// Time to wait for a confirmed configuration to be in force everywhere.
const DEFAULT_WAIT: Duration = Duration::from_secs(15);

/// Options of all commands that call the operators' API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Common {
    /// Addresses of balancers' APIs, tried in order.
    pub api: Vec<SocketAddr>,
    /// Whether to print JSON.
    pub json: bool,
}

/// A command with its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Print a text.
    Print(String),
    /// Plan a change of the configuration.
    Plan {
        /// API addresses and output format.
        common: Common,
        /// The change to plan.
        intent: Intent,
        /// File to write the plan to.
        out: Option<PathBuf>,
    },
    /// Confirm a plan.
    Confirm {
        /// API addresses and output format.
        common: Common,
        /// File with the plan, `-` for standard input.
        file: PathBuf,
        /// Operation id; the plan's id by default.
        operation: Option<String>,
        /// Time to wait until all processes report the version.
        wait: Duration,
    },
    /// Show zones, services, upstreams and balancers.
    Status(Common),
    /// Show the status of flow-forwarding processes.
    Processes {
        /// Their metrics addresses.
        processes: Vec<SocketAddr>,
        /// Whether to print JSON.
        json: bool,
    },
    /// Show the merged timeline of all processes.
    Timeline {
        /// API addresses and output format.
        common: Common,
        /// Listen addresses of the processes to query; all known ones if empty.
        processes: Vec<SocketAddr>,
        /// File to write JSON lines to.
        out: Option<PathBuf>,
    },
    /// Replay a recorded timeline.
    Replay {
        /// File with the recorded timeline.
        file: PathBuf,
        /// Whether to print JSON.
        json: bool,
    },
    /// Show the history of a flow from logs.
    Explain {
        /// The client's address, or the whole flow as `CLIENT>ROUTE`.
        flow: String,
        /// Log files of the processes.
        files: Vec<PathBuf>,
    },
    /// Check files before they are used.
    Check(check::Request),
    /// Generate a certificate.
    Certificate {
        /// Host names and IP addresses.
        hosts: Vec<String>,
        /// Directory for the files.
        out: PathBuf,
    },
}

impl Command {
    /// Parses the arguments after the program's name.
    ///
    /// # Errors
    ///
    /// Names the missing, unknown or invalid argument.
    ///
    /// ```
    /// use sassafrasmast::command::Command;
    /// let arguments = ["status", "--api", "127.0.0.1:7002"].map(Into::into).to_vec();
    /// let command = Command::parse(pico_args::Arguments::from_vec(arguments)).unwrap();
    /// assert!(matches!(command, Command::Status(_)));
    /// ```
    pub fn parse(mut arguments: Arguments) -> anyhow::Result<Self> {
        if arguments.contains("--version") {
            return Ok(Self::Print(format!(
                "sassafrasmast {}\n",
                env!("CARGO_PKG_VERSION")
            )));
        }
        let help = arguments.contains(["-h", "--help"]);
        let name = arguments.subcommand().context("see --help")?;
        let command = match name.as_deref() {
            None if help => return Ok(Self::Print(help::TOOL.to_owned())),
            None => bail!("a command is missing, see --help"),
            Some(name) if help => return Self::help(name),
            Some("plan") => Self::plan(&mut arguments),
            Some("confirm") => Self::confirm(&mut arguments),
            Some("status") => Self::status(&mut arguments),
            Some("timeline") => Self::timeline(&mut arguments),
            Some("replay") => Self::replay(&mut arguments),
            Some("explain") => Self::explain(&mut arguments),
            Some("config") => Self::check(&mut arguments),
            Some("certificate") => Self::certificate(&mut arguments),
            Some(name) => bail!("unknown command {name:?}, see --help"),
        }?;
        let rest = arguments.finish();
        ensure!(rest.is_empty(), "unknown arguments {rest:?}, see --help");
        Ok(command)
    }

    fn help(name: &str) -> anyhow::Result<Self> {
        let text = match name {
            "plan" => help::PLAN,
            "confirm" => help::CONFIRM,
            "status" => help::STATUS,
            "timeline" => help::TIMELINE,
            "replay" => help::REPLAY,
            "explain" => help::EXPLAIN,
            "config" => help::CONFIG,
            "certificate" => help::CERTIFICATE,
            _ => bail!("unknown command {name:?}, see --help"),
        };
        Ok(Self::Print(text.to_owned()))
    }

    fn plan(arguments: &mut Arguments) -> anyhow::Result<Self> {
        let common = Common::parse(arguments)?;
        let out = arguments.opt_value_from_str("--out")?;
        let intent = Intent::parse(arguments)?;
        Ok(Self::Plan {
            common,
            intent,
            out,
        })
    }

    fn confirm(arguments: &mut Arguments) -> anyhow::Result<Self> {
        let common = Common::parse(arguments)?;
        let operation = arguments.opt_value_from_str("--operation")?;
        let wait = arguments.opt_value_from_str::<_, u64>("--wait")?;
        Ok(Self::Confirm {
            common,
            file: file(arguments, "a plan file")?,
            operation,
            wait: wait.map_or(DEFAULT_WAIT, Duration::from_secs),
        })
    }

    fn status(arguments: &mut Arguments) -> anyhow::Result<Self> {
        let processes: Vec<SocketAddr> = arguments.values_from_str("--process")?;
        if processes.is_empty() {
            return Ok(Self::Status(Common::parse(arguments)?));
        }
        let json = arguments.contains("--json");
        Ok(Self::Processes { processes, json })
    }

    fn timeline(arguments: &mut Arguments) -> anyhow::Result<Self> {
        Ok(Self::Timeline {
            common: Common::parse(arguments)?,
            processes: arguments.values_from_str("--process")?,
            out: arguments.opt_value_from_str("--out")?,
        })
    }

    fn replay(arguments: &mut Arguments) -> anyhow::Result<Self> {
        let json = arguments.contains("--json");
        let file = file(arguments, "a recorded timeline")?;
        Ok(Self::Replay { file, json })
    }

    fn explain(arguments: &mut Arguments) -> anyhow::Result<Self> {
        let flow: String = arguments
            .free_from_str()
            .context("a flow is missing, see --help")?;
        let files: Vec<PathBuf> = positional(arguments)?;
        ensure!(!files.is_empty(), "a log file is missing, see --help");
        Ok(Self::Explain { flow, files })
    }

    fn check(arguments: &mut Arguments) -> anyhow::Result<Self> {
        let subcommand = arguments.subcommand()?;
        ensure!(
            subcommand.as_deref() == Some("check"),
            "config has one command, check; see --help"
        );
        let json = arguments.opt_value_from_fn("--format", is_json)?;
        let strict = arguments.contains("--strict");
        let against: Option<String> = arguments.opt_value_from_str("--against")?;
        let processes: Vec<SocketAddr> = arguments.values_from_str("--process")?;
        let api = addresses(arguments)?;
        let files: Vec<PathBuf> = positional(arguments)?;
        ensure!(!files.is_empty(), "a settings file is missing, see --help");
        ensure!(
            against.is_none() || files.len() == 1,
            "--against takes one file to check"
        );
        ensure!(
            processes.is_empty() || against.as_deref() == Some(IN_FORCE),
            "--process is for --against {IN_FORCE}"
        );
        Ok(Self::Check(check::Request {
            files,
            against: against.map(|against| match against.as_str() {
                IN_FORCE => Against::InForce { processes, api },
                file => Against::File(file.into()),
            }),
            json: json.unwrap_or_default(),
            strict,
        }))
    }

    fn certificate(arguments: &mut Arguments) -> anyhow::Result<Self> {
        let hosts: Vec<String> = arguments.values_from_str("--host")?;
        ensure!(!hosts.is_empty(), "--host is missing, see --help");
        let out = arguments.value_from_str("--out").context("see --help")?;
        Ok(Self::Certificate { hosts, out })
    }
}

impl Common {
    fn parse(arguments: &mut Arguments) -> anyhow::Result<Self> {
        let api = addresses(arguments)?;
        ensure!(
            !api.is_empty(),
            "no balancer is named: give --api or set {API_VARIABLE}"
        );
        let json = arguments.contains("--json");
        Ok(Self { api, json })
    }
}

/// Whether `format` is JSON.
fn is_json(format: &str) -> Result<bool, &'static str> {
    match format {
        "text" => Ok(false),
        "json" => Ok(true),
        _ => Err("text or json is expected"),
    }
}

/// Addresses of balancers' APIs.
fn addresses(arguments: &mut Arguments) -> anyhow::Result<Vec<SocketAddr>> {
    let mut api: Vec<SocketAddr> = arguments.values_from_str("--api")?;
    if api.is_empty() {
        let listed = env::var(API_VARIABLE).unwrap_or_default();
        let texts = listed.split(',').map(str::trim).filter(|t| !t.is_empty());
        for text in texts {
            let address = text.parse();
            api.push(address.with_context(|| format!("{API_VARIABLE}: {text:?}"))?);
        }
    }
    Ok(api)
}

/// The next positional argument as a path; `what` names it in the error.
fn file(arguments: &mut Arguments, what: &str) -> anyhow::Result<PathBuf> {
    arguments
        .free_from_str()
        .with_context(|| format!("{what} is missing, see --help"))
}

/// All remaining positional arguments.
fn positional<T>(arguments: &mut Arguments) -> anyhow::Result<Vec<T>>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let mut values = Vec::new();
    while let Some(value) = arguments.opt_free_from_str()? {
        values.push(value);
    }
    Ok(values)
}
