//! A self-signed development certificate.

use std::{fs, path::Path};

use anyhow::Context;
use rustls_pki_types::{CertificateDer, pem::PemObject};

/// A self-signed certificate and its key, in PEM.
#[derive(Debug, Clone)]
pub struct Certificate {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

impl Certificate {
    /// Generates a certificate for `localhost`.
    ///
    /// # Errors
    ///
    /// If no key can be generated.
    pub fn generate() -> anyhow::Result<Self> {
        let made = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()])?;
        Ok(Self {
            certificate: made.cert.pem(),
            key: made.signing_key.serialize_pem(),
        })
    }

    /// Writes both files into `directory`: `certificate.pem` and `key.pem`.
    ///
    /// # Errors
    ///
    /// If a file cannot be written.
    pub fn write(&self, directory: &Path) -> anyhow::Result<()> {
        fs::write(directory.join("certificate.pem"), &self.certificate)?;
        fs::write(directory.join("key.pem"), &self.key)?;
        Ok(())
    }
}

/// Reads the first certificate of a PEM file.
///
/// # Errors
///
/// Names the file if it cannot be read or holds no certificate.
pub fn read(path: &Path) -> anyhow::Result<CertificateDer<'static>> {
    CertificateDer::from_pem_file(path).with_context(|| format!("{}", path.display()))
}
