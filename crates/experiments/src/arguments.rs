//! The command line of the experiment tool.

use std::path::PathBuf;

/// Help text.
const HELP: &str = "\
experiment: runs scenarios over real processes on loopback

USAGE:
    experiment [--out DIR] SCENARIO.toml...

OPTIONS:
    --out DIR    directory for the Markdown tables and SVG charts (default: target/experiments)
";

/// Parsed arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arguments {
    /// Directory for results.
    pub out: PathBuf,
    /// Scenario files.
    pub scenarios: Vec<PathBuf>,
}

impl Arguments {
    /// Parses the arguments of the process. `None` means that the help text was printed.
    ///
    /// # Errors
    ///
    /// If no scenario is given.
    pub fn from_env() -> anyhow::Result<Option<Self>> {
        let mut arguments = pico_args::Arguments::from_env();
        if arguments.contains(["-h", "--help"]) {
            print!("{HELP}");
            return Ok(None);
        }
        let out: Option<PathBuf> = arguments.opt_value_from_str("--out")?;
        let scenarios: Vec<_> = arguments.finish().into_iter().map(PathBuf::from).collect();
        anyhow::ensure!(!scenarios.is_empty(), "no scenario given, see --help");
        let out = out.unwrap_or_else(|| PathBuf::from("target/experiments"));
        Ok(Some(Self { out, scenarios }))
    }
}
