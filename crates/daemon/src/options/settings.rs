//! The settings file.

use std::{fs, net::SocketAddr, path::Path};

use anyhow::{Context, anyhow};
use serde::Deserialize;

use super::{Arguments, Problem, Role};

/// Default number of worker threads of the runtime.
const DEFAULT_WORKERS: usize = 2;

/// Default number of events kept in the timeline of a process.
const DEFAULT_EVENTS: usize = 65_536;

/// Settings of one process, merged from file and arguments.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the process in logs and in the timeline.
    pub name: String,
    /// Availability zone of the process.
    pub zone: String,
    /// Address for frames (UDP) and peer calls (TCP).
    pub listen: SocketAddr,
    /// Address of the metrics exporter (Prometheus); without it there are no metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Log level, or a list of levels and of modules with their levels.
    #[serde(default = "default_log")]
    pub log: String,
    /// Worker threads of the runtime.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Events kept in the timeline.
    #[serde(default = "default_events")]
    pub events: usize,
    /// Role of the process.
    pub role: Role,
}

fn default_log() -> String {
    "info".to_owned()
}

fn default_workers() -> usize {
    DEFAULT_WORKERS
}

fn default_events() -> usize {
    DEFAULT_EVENTS
}

impl Settings {
    /// Reads the settings file and merges the arguments into it.
    ///
    /// # Errors
    ///
    /// Names the file, the key and the reason.
    pub fn load(arguments: &Arguments) -> anyhow::Result<Self> {
        let mut settings = Self::read(&arguments.settings)?;
        if let Some(level) = &arguments.log {
            settings.log.clone_from(level);
        }
        Ok(settings)
    }

    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Names the file, and for each problem the key and the reason.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let file = path.display();
        let text = fs::read_to_string(path).with_context(|| format!("{file}"))?;
        let settings = Self::parse(&text).map_err(|problem| anyhow!("{file}: {problem}"))?;
        let problems = settings.problems();
        if problems.is_empty() {
            return Ok(settings);
        }
        let lines: Vec<_> = problems.iter().map(|p| format!("{file}: {p}")).collect();
        Err(anyhow!(lines.join("\n")))
    }

    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// The first problem of the text: a syntax error, an unknown or a missing key, or a value of
    /// the wrong type.
    ///
    /// ```
    /// use sassafrasmastd::options::Settings;
    /// let problem = Settings::parse("name = 7").unwrap_err();
    /// assert_eq!(problem.key, "name");
    /// ```
    pub fn parse(text: &str) -> Result<Self, Problem> {
        toml::from_str(text).map_err(|error| Problem::from_toml(text, &error))
    }
}
