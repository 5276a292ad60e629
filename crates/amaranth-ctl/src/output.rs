//! What a command prints.

use std::fmt::Display;
use std::io::Write;

use serde::Serialize;
use serde_json::json;

use crate::error::CommandError;

/// Where reports and errors go.
pub struct CommandOutput {
    reports: Box<dyn Write + Send>,
    errors: Box<dyn Write + Send>,
    json: bool,
}

impl CommandOutput {
    /// Opens an output that prints text.
    pub fn open(reports: Box<dyn Write + Send>, errors: Box<dyn Write + Send>) -> Self {
        Self {
            reports,
            errors,
            json: false,
        }
    }

    /// Sets whether reports are JSON objects.
    pub const fn set_json(&mut self, json: bool) {
        self.json = json;
    }

    /// Prints text as it is.
    pub fn print_text(&mut self, text: &str) {
        // A reader that has closed the pipe wants no more.
        let _ = writeln!(self.reports, "{}", text.trim_end());
    }

    /// Prints a report, as text or as one JSON object on one line.
    pub fn print<R: Serialize + Display>(&mut self, report: &R) {
        if !self.json {
            self.print_text(&report.to_string());
            return;
        }
        match serde_json::to_string(report) {
            Ok(text) => self.print_text(&text),
            Err(error) => {
                let _ = writeln!(self.errors, "the report can't be encoded: {error}");
            }
        }
    }

    /// Prints an error with its places in files, and as JSON too if that is wanted.
    pub fn print_error(&mut self, error: &CommandError) {
        let _ = writeln!(self.errors, "amaranthctl: {:?}", error.report);
        if self.json {
            let object = json!({ "error": {
                "status": error.status,
                "message": error.report.to_string(),
                "faults": error.faults,
            }});
            self.print_text(&object.to_string());
        }
    }

    /// Prints progress beside the report.
    pub fn note(&mut self, text: &str) {
        let _ = writeln!(self.errors, "{text}");
    }
}
