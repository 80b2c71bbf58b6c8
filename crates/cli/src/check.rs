//! Checking settings files of the daemon.

use std::path::PathBuf;

use sassafrasmastd::options::Settings;

use crate::exit::Exit;

/// Checks each file and prints the result.
pub fn run(files: &[PathBuf]) -> Exit {
    let mut exit = Exit::Done;
    for file in files {
        match Settings::read(file) {
            Ok(_) => println!("{}: settings are valid", file.display()),
            Err(error) => {
                eprintln!("{error:#}");
                exit = Exit::Usage;
            }
        }
    }
    exit
}
