//! Reading of a configuration folder.

use std::fs;
use std::path::Path;

use amaranth_config::folder::{
    ConfigSet, MAX_DOCUMENT_BYTES, MAX_DOCUMENTS, SourceDocument, merge,
};

use crate::error::CommandError;
use crate::exit::ExitStatus;

/// The file name extension of configuration documents.
const DOCUMENT_EXTENSION: &str = ".toml";

/// Reads the `.toml` files of the folder at `path`, without its subfolders.
///
/// # Errors
///
/// Returns an error when the folder or a file can't be read, is not UTF-8 or is too large.
pub fn read_documents(path: &Path) -> Result<Vec<SourceDocument>, CommandError> {
    let entries = fs::read_dir(path).map_err(|error| CommandError::unreadable(path, &error))?;
    let mut documents = Vec::new();
    for entry in entries {
        let entry = entry.map_err(|error| CommandError::unreadable(path, &error))?;
        let name = entry.file_name().to_string_lossy().into_owned();
        let is_hidden = name.starts_with('.');
        if !is_hidden && name.ends_with(DOCUMENT_EXTENSION) {
            documents.push(read_document(&entry.path(), name)?);
        }
        if documents.len() > MAX_DOCUMENTS {
            let path = path.display();
            let message = format!("{path} has more than {MAX_DOCUMENTS} documents");
            return Err(CommandError::new(ExitStatus::FolderRefused, message));
        }
    }
    documents.sort_by(|left, right| left.name.cmp(&right.name));
    Ok(documents)
}

fn read_document(path: &Path, name: String) -> Result<SourceDocument, CommandError> {
    let unreadable = |error: std::io::Error| CommandError::unreadable(path, &error);
    let length = fs::metadata(path).map_err(unreadable)?.len();
    if usize::try_from(length).is_ok_and(|length| length <= MAX_DOCUMENT_BYTES) {
        let text = fs::read_to_string(path).map_err(unreadable)?;
        return Ok(SourceDocument::new(name, text));
    }
    let path = path.display();
    let message = format!("{path} has more than {MAX_DOCUMENT_BYTES} bytes");
    Err(CommandError::new(ExitStatus::FolderRefused, message))
}

/// Reads, merges and checks the folder at `path`.
///
/// # Errors
///
/// Returns an error when the folder can't be read or is invalid.
pub fn read_folder(path: &Path) -> Result<ConfigSet, CommandError> {
    let documents = read_documents(path)?;
    if documents.is_empty() {
        // An empty folder would delete every entry and is more likely to be the wrong folder.
        let path = path.display();
        let message = format!("{path} contains no {DOCUMENT_EXTENSION} file");
        return Err(CommandError::new(ExitStatus::FolderRefused, message));
    }
    Ok(merge(&documents)?)
}
