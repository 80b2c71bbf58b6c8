//! Generates a self-signed certificate for development.

use std::{
    fs::{self, OpenOptions},
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::Path,
};

use anyhow::Context;

use crate::exit::Exit;

/// Name of the certificate file.
const CERTIFICATE_FILE: &str = "certificate.pem";

/// Name of the private key file.
const KEY_FILE: &str = "key.pem";

/// File mode of the private key: readable by its owner only.
const KEY_MODE: u32 = 0o600;

/// Writes a self-signed certificate for `hosts` and its key to the directory `out`.
///
/// # Errors
///
/// If a host name is not valid or a file cannot be written.
pub fn run(hosts: Vec<String>, out: &Path) -> anyhow::Result<Exit> {
    let generated = rcgen::generate_simple_self_signed(hosts).context("certificate")?;
    fs::create_dir_all(out).with_context(|| format!("{}", out.display()))?;
    let certificate = out.join(CERTIFICATE_FILE);
    let key = out.join(KEY_FILE);
    fs::write(&certificate, generated.cert.pem())
        .with_context(|| format!("{}", certificate.display()))?;
    OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(KEY_MODE)
        .open(&key)
        .and_then(|mut file| file.write_all(generated.signing_key.serialize_pem().as_bytes()))
        .with_context(|| format!("{}", key.display()))?;
    println!("wrote {} and {}", certificate.display(), key.display());
    Ok(Exit::Done)
}
