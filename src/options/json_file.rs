//! Reads JSON files that people write, with errors that name the bad field.

use std::{
    io,
    path::{Path, PathBuf},
};

use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why a JSON file is rejected.
#[derive(Debug)]
#[derive(Error)]
pub enum JsonFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is not JSON of the expected shape.
    #[error("{}: at {field}: {source}", path.display())]
    BadField {
        /// Path of the file.
        path: PathBuf,
        /// Path of the bad field within the document, such as `role.gateway.listen`.
        field: String,
        /// Error of the JSON decoder, with the expected type or names.
        source: serde_json::Error,
    },
}

/// Reads and decodes a JSON file.
///
/// # Errors
///
/// The file cannot be read, or a field is invalid; the error names the file and the field.
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
