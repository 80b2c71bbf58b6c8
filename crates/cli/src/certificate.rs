//! Making a certificate for development.

use std::{
    fs::{self, OpenOptions},
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::Path,
};

use anyhow::Context;

use crate::exit::Exit;

/// Name of the file with the certificate.
const CERTIFICATE_FILE: &str = "certificate.pem";

/// Name of the file with the private key.
const KEY_FILE: &str = "key.pem";

/// File mode of the private key: only its owner reads it.
const KEY_MODE: u32 = 0o600;

/// Writes a self-signed certificate for `hosts` and its key to the directory `out`.
///
/// # Errors
///
/// If a name is not valid or a file cannot be written.
pub fn run(hosts: Vec<String>, out: &Path) -> anyhow::Result<Exit> {
    let made = rcgen::generate_simple_self_signed(hosts).context("certificate")?;
    fs::create_dir_all(out).with_context(|| format!("{}", out.display()))?;
    let certificate = out.join(CERTIFICATE_FILE);
    let key = out.join(KEY_FILE);
    fs::write(&certificate, made.cert.pem())
        .with_context(|| format!("{}", certificate.display()))?;
    OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(KEY_MODE)
        .open(&key)
        .and_then(|mut file| file.write_all(made.signing_key.serialize_pem().as_bytes()))
        .with_context(|| format!("{}", key.display()))?;
    println!(
        "{} and {} are written",
        certificate.display(),
        key.display()
    );
    Ok(Exit::Done)
}
