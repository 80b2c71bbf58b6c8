//! What is to be done, parsed from the arguments.

mod intent;

use std::{env, net::SocketAddr, path::PathBuf, time::Duration};

use anyhow::{Context, bail, ensure};
use pico_args::Arguments;

pub use self::intent::Intent;
use crate::help;

/// Variable with the default list of API addresses.
const API_VARIABLE: &str = "SASSAFRASMAST_API";

/// Time in which a confirmed configuration should be in force everywhere.
const DEFAULT_WAIT: Duration = Duration::from_secs(15);

/// Where to ask and how to print.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Common {
    /// Addresses of balancers' APIs, tried in turn.
    pub api: Vec<SocketAddr>,
    /// Print JSON.
    pub json: bool,
}

/// The closed set of commands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Print a text.
    Print(String),
    /// Plan an intent.
    Plan {
        /// Where to ask and how to print.
        common: Common,
        /// The intent.
        intent: Intent,
        /// File to write the plan to.
        out: Option<PathBuf>,
    },
    /// Confirm a plan.
    Confirm {
        /// Where to ask and how to print.
        common: Common,
        /// File with the plan, `-` for standard input.
        file: PathBuf,
        /// Name of the confirm.
        operation: Option<String>,
        /// Time to wait until all processes report the version.
        wait: Duration,
    },
    /// Show the fleet.
    Status(Common),
    /// Show what processes of flow forwarding say of themselves.
    Processes {
        /// Their metrics addresses.
        processes: Vec<SocketAddr>,
        /// Print JSON.
        json: bool,
    },
    /// Show the events of all processes.
    Timeline {
        /// Where to ask and how to print.
        common: Common,
        /// Only these processes; all if there are none.
        processes: Vec<SocketAddr>,
        /// File to write JSON lines to.
        out: Option<PathBuf>,
    },
    /// Replay a recorded time line.
    Replay {
        /// The recording.
        file: PathBuf,
        /// Print JSON.
        json: bool,
    },
    /// Tell the story of a flow from logs.
    Explain {
        /// The client's end, or the whole flow.
        flow: String,
        /// Logs of processes.
        files: Vec<PathBuf>,
    },
    /// Check settings files.
    Check(Vec<PathBuf>),
    /// Make a certificate.
    Certificate {
        /// Names and IP addresses.
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
    /// Names the missing, unknown or bad argument.
    ///
    /// ```
    /// use sassafrasmast::command::Command;
    /// let arguments = ["status", "--api", "127.0.0.1:7002"].map(Into::into).to_vec();
    /// let command = Command::parse(pico_args::Arguments::from_vec(arguments)).unwrap();
    /// assert!(matches!(command, Command::Status(_)));
    /// ```
    pub fn parse(mut given: Arguments) -> anyhow::Result<Self> {
        if given.contains("--version") {
            return Ok(Self::Print(format!(
                "sassafrasmast {}\n",
                env!("CARGO_PKG_VERSION")
            )));
        }
        let help = given.contains(["-h", "--help"]);
        let name = given.subcommand().context("see --help")?;
        let command = match name.as_deref() {
            None if help => return Ok(Self::Print(help::TOOL.to_owned())),
            None => bail!("a command is missing, see --help"),
            Some(name) if help => return Self::help(name),
            Some("plan") => Self::plan(&mut given),
            Some("confirm") => Self::confirm(&mut given),
            Some("status") => Self::status(&mut given),
            Some("timeline") => Self::timeline(&mut given),
            Some("replay") => Self::replay(&mut given),
            Some("explain") => Self::explain(&mut given),
            Some("config") => Self::check(&mut given),
            Some("certificate") => Self::certificate(&mut given),
            Some(name) => bail!("unknown command {name:?}, see --help"),
        }?;
        let rest = given.finish();
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

    fn plan(given: &mut Arguments) -> anyhow::Result<Self> {
        let common = Common::parse(given)?;
        let out = given.opt_value_from_str("--out")?;
        let intent = Intent::parse(given)?;
        Ok(Self::Plan {
            common,
            intent,
            out,
        })
    }

    fn confirm(given: &mut Arguments) -> anyhow::Result<Self> {
        let common = Common::parse(given)?;
        let operation = given.opt_value_from_str("--operation")?;
        let wait = given.opt_value_from_str::<_, u64>("--wait")?;
        Ok(Self::Confirm {
            common,
            file: file(given, "a plan file")?,
            operation,
            wait: wait.map_or(DEFAULT_WAIT, Duration::from_secs),
        })
    }

    fn status(given: &mut Arguments) -> anyhow::Result<Self> {
        let processes: Vec<SocketAddr> = given.values_from_str("--process")?;
        if processes.is_empty() {
            return Ok(Self::Status(Common::parse(given)?));
        }
        let json = given.contains("--json");
        Ok(Self::Processes { processes, json })
    }

    fn timeline(given: &mut Arguments) -> anyhow::Result<Self> {
        Ok(Self::Timeline {
            common: Common::parse(given)?,
            processes: given.values_from_str("--process")?,
            out: given.opt_value_from_str("--out")?,
        })
    }

    fn replay(given: &mut Arguments) -> anyhow::Result<Self> {
        let json = given.contains("--json");
        let file = file(given, "a recording")?;
        Ok(Self::Replay { file, json })
    }

    fn explain(given: &mut Arguments) -> anyhow::Result<Self> {
        let flow: String = given
            .free_from_str()
            .context("a flow is missing, see --help")?;
        let files: Vec<PathBuf> = free(given)?;
        ensure!(!files.is_empty(), "a log file is missing, see --help");
        Ok(Self::Explain { flow, files })
    }

    fn check(given: &mut Arguments) -> anyhow::Result<Self> {
        let subcommand = given.subcommand()?;
        ensure!(
            subcommand.as_deref() == Some("check"),
            "config has one command, check; see --help"
        );
        let files: Vec<PathBuf> = free(given)?;
        ensure!(!files.is_empty(), "a settings file is missing, see --help");
        Ok(Self::Check(files))
    }

    fn certificate(given: &mut Arguments) -> anyhow::Result<Self> {
        let hosts: Vec<String> = given.values_from_str("--host")?;
        ensure!(!hosts.is_empty(), "--host is missing, see --help");
        let out = given.value_from_str("--out").context("see --help")?;
        Ok(Self::Certificate { hosts, out })
    }
}

impl Common {
    fn parse(given: &mut Arguments) -> anyhow::Result<Self> {
        let mut api: Vec<SocketAddr> = given.values_from_str("--api")?;
        if api.is_empty() {
            let listed = env::var(API_VARIABLE).unwrap_or_default();
            let texts = listed.split(',').map(str::trim).filter(|t| !t.is_empty());
            for text in texts {
                let address = text.parse();
                api.push(address.with_context(|| format!("{API_VARIABLE}: {text:?}"))?);
            }
        }
        ensure!(
            !api.is_empty(),
            "no balancer is named: give --api or set {API_VARIABLE}"
        );
        let json = given.contains("--json");
        Ok(Self { api, json })
    }
}

/// The one file that a command takes.
fn file(given: &mut Arguments, what: &str) -> anyhow::Result<PathBuf> {
    given
        .free_from_str()
        .with_context(|| format!("{what} is missing, see --help"))
}

/// All remaining arguments without a name.
fn free<T>(given: &mut Arguments) -> anyhow::Result<Vec<T>>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let mut values = Vec::new();
    while let Some(value) = given.opt_free_from_str()? {
        values.push(value);
    }
    Ok(values)
}
