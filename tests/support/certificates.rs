//! Certificates for test fleets, signed by an authority made for the test.

use std::path::{Path, PathBuf};

use alderbay::transport::CERTIFICATE_NAME;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// PEM files of a certificate and of the authority that signed it.
pub struct CertificateFiles {
    pub authority: PathBuf,
    pub certificate: PathBuf,
    pub private_key: PathBuf,
}

/// Writes a new authority, a certificate that it signed and its key. File names start with `name`.
pub fn write_certificates(folder: &Path, name: &str) -> CertificateFiles {
    let authority_key = KeyPair::generate().unwrap();
    let mut params = CertificateParams::new(Vec::<String>::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = params.self_signed(&authority_key).unwrap();
    let issuer = Issuer::new(params, authority_key);
    let key = KeyPair::generate().unwrap();
    let leaf = CertificateParams::new(vec![CERTIFICATE_NAME.to_owned()]).unwrap();
    let leaf = leaf.signed_by(&key, &issuer).unwrap();
    let files = CertificateFiles {
        authority: folder.join(format!("{name}-authority.pem")),
        certificate: folder.join(format!("{name}-certificate.pem")),
        private_key: folder.join(format!("{name}-key.pem")),
    };
    std::fs::write(&files.authority, authority.pem()).unwrap();
    std::fs::write(&files.certificate, leaf.pem()).unwrap();
    std::fs::write(&files.private_key, key.serialize_pem()).unwrap();
    files
}
