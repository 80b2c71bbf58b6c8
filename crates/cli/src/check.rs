//! Checks settings files: the daemon's, those of the users' platform and those in `deploy/`.

use std::path::{Path, PathBuf};

use anyhow::Context;
use sassafrasmast_platform::deploy;
use sassafrasmastd::options::Settings;

use crate::exit::Exit;

/// Checks each file and prints the results: valid files on standard output, errors on standard
/// error.
pub fn run(files: &[PathBuf]) -> Exit {
    let mut exit = Exit::Done;
    for file in files {
        match check(file) {
            Ok(result) => println!("{}: {result}", file.display()),
            Err(error) => {
                eprintln!("{error:#}");
                exit = Exit::Usage;
            }
        }
    }
    exit
}

/// Checks a file. Returns which kind of file was found to be valid.
///
/// # Errors
///
/// Names the file, the key and the reason.
pub fn check(file: &Path) -> anyhow::Result<String> {
    let name = || file.display().to_string();
    let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {}", name()))?;
    if let Some(kind) = deploy::Kind::detect(&text) {
        kind.check(&text).with_context(name)?;
        return Ok(format!("{} is valid", kind.as_str()));
    }
    Settings::read(file)?;
    Ok("settings are valid".to_owned())
}
