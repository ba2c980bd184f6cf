//! Certificates of a test fleet.

use std::path::{Path, PathBuf};

use alderbay::transport::CERTIFICATE_NAME;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// Files of one process's certificate.
pub struct CertificateFiles {
    pub authority: PathBuf,
    pub certificate: PathBuf,
    pub private_key: PathBuf,
}

/// Writes an authority and one certificate that it signed, each file's name beginning with `name`.
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
