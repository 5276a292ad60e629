//! The output of a command.

use std::fmt::Display;
use std::io::Write;

use serde::Serialize;
use serde_json::json;

use crate::error::CommandError;

/// The writers of reports and errors.
pub struct CommandOutput {
    reports: Box<dyn Write + Send>,
    errors: Box<dyn Write + Send>,
    json: bool,
}

impl CommandOutput {
    /// Creates an output that prints reports as text.
    pub fn new(reports: Box<dyn Write + Send>, errors: Box<dyn Write + Send>) -> Self {
        Self {
            reports,
            errors,
            json: false,
        }
    }

    /// Sets whether reports are printed as JSON objects.
    pub const fn set_json(&mut self, json: bool) {
        self.json = json;
    }

    /// Prints text without its trailing white space.
    pub fn print_text(&mut self, text: &str) {
        // An error means that the reader has closed the pipe, so there is nothing left to do.
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

    /// Prints an error with its locations in files, and also as a JSON object if reports are JSON.
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

    /// Prints progress to the error output, apart from the report.
    pub fn print_progress(&mut self, text: &str) {
        let _ = writeln!(self.errors, "{text}");
    }
}
