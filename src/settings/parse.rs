use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;

use super::ParseError;

/// Parses settings from JSON text.
///
/// # Errors
/// [`ParseError::Json`] with the JSON path of the first fault.
///
/// ```
/// # use ebonyusher::settings::{Team, parse};
/// let err = parse::<Team>("{\"services\": 7}").unwrap_err();
/// assert!(err.to_string().starts_with("services: "));
/// ```
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ParseError> {
    let mut de = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut de).map_err(|err| ParseError::Json {
        place: place(err.path()),
        reason: err.inner().to_string(),
    })?;
    de.end().map_err(|err| ParseError::Json { place: ".".to_owned(), reason: err.to_string() })?;
    Ok(value)
}

/// Reads and parses settings from a JSON file.
///
/// # Errors
/// [`ParseError::File`] if the file can't be read, [`ParseError::Json`] if its text is invalid.
pub fn read_file<T: DeserializeOwned>(path: &Path) -> Result<T, ParseError> {
    let text = fs::read_to_string(path).map_err(|err| ParseError::File {
        path: path.display().to_string(),
        reason: err.to_string(),
    })?;
    parse(&text)
}

/// Formats a path. An unknown path (`?`), as in a truncated document, stands for the document as a
/// whole, like the empty path (`.`).
fn place(path: &serde_path_to_error::Path) -> String {
    let text = path.to_string();
    if text == "?" { ".".to_owned() } else { text }
}
