//! Reading files that people write in JSON.

use std::{
    io,
    path::{Path, PathBuf},
};

use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why a file is refused.
#[derive(Debug)]
#[derive(Error)]
pub enum JsonFileError {
    /// It cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The text is not JSON of the right shape.
    #[error("{}: at {field}: {source}", path.display())]
    BadField {
        /// The file.
        path: PathBuf,
        /// Path of the field.
        field: String,
        /// What is wrong and what it may be.
        source: serde_json::Error,
    },
}

/// Reads a file.
///
/// # Errors
///
/// The file is unreadable or holds a bad field; the error names it.
///
/// ```
/// let missing = alderbay::options::read_json_file::<u8>("no/such/file".as_ref());
/// assert!(missing.unwrap_err().to_string().starts_with("no/such/file: "));
/// ```
pub fn read_json_file<T: DeserializeOwned>(path: &Path) -> Result<T, JsonFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| JsonFileError::Unreadable { path: path.to_owned(), source })?;
    let mut decoder = serde_json::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(&mut decoder).map_err(|error| JsonFileError::BadField {
        path: path.to_owned(),
        field: error.path().to_string(),
        source: error.into_inner(),
    })
}
