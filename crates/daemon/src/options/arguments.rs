//! The command line of the daemon.

use std::path::PathBuf;

use anyhow::Context;

/// Help text of the daemon.
const HELP: &str = "\
sassafrasmastd: the daemon of the sassafrasmast load balancer

USAGE:
    sassafrasmastd --settings FILE [--log LEVEL] [--check-settings]
    sassafrasmastd --openapi

OPTIONS:
    --settings FILE     settings file (TOML); its role table decides what this process is
    --log LEVEL         overrides the log level of the settings (error, warn, info, debug, trace)
    --check-settings    checks the settings file and exits
    --openapi           prints the OpenAPI description of the operators' API
    --version           prints the version
    --help              prints this text

EXIT CODES:
    0  stopped on request    1  failed while running    2  bad arguments or settings
";

/// Parsed arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arguments {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Log level that overrides the settings.
    pub log: Option<String>,
    /// Whether to check the settings and exit.
    pub check_settings: bool,
}

impl Arguments {
    /// Parses the arguments of the process. `None` if a requested text was printed instead.
    ///
    /// # Errors
    ///
    /// Names the missing or unknown argument.
    pub fn from_env() -> anyhow::Result<Option<Self>> {
        Self::parse(pico_args::Arguments::from_env())
    }

    /// Parses `given`. `None` if a requested text was printed instead.
    ///
    /// # Errors
    ///
    /// Names the missing or unknown argument.
    pub fn parse(mut given: pico_args::Arguments) -> anyhow::Result<Option<Self>> {
        if given.contains(["-h", "--help"]) {
            print!("{HELP}");
            return Ok(None);
        }
        if given.contains("--version") {
            println!("sassafrasmastd {}", env!("CARGO_PKG_VERSION"));
            return Ok(None);
        }
        if given.contains("--openapi") {
            print!("{}", crate::api::openapi()?);
            return Ok(None);
        }
        let arguments = Self {
            settings: given.value_from_str("--settings").context("see --help")?,
            log: given.opt_value_from_str("--log")?,
            check_settings: given.contains("--check-settings"),
        };
        let rest = given.finish();
        anyhow::ensure!(rest.is_empty(), "unknown arguments {rest:?}, see --help");
        Ok(Some(arguments))
    }
}
