//! Prints results: tables for people, JSON for scripts.

use std::io::{self, Write};

use comfy_table::{Table, presets::NOTHING};
use serde::Serialize;

use super::OperatorError;

/// Output format of a command.
#[derive(Clone, Copy, Debug)]
pub(super) struct Output {
    pub(super) is_json: bool,
}

impl Output {
    /// Prints rows as a table with `header`, or as a JSON array.
    pub(super) fn print_table<T: Serialize>(
        self,
        rows: &[T],
        header: &[&str],
        to_row: impl Fn(&T) -> Vec<String>,
    ) -> Result<(), OperatorError> {
        if self.is_json {
            return self.print_json(&rows);
        }
        let mut table = Table::new();
        table.load_preset(NOTHING).set_header(header);
        table.add_rows(rows.iter().map(to_row));
        Ok(writeln!(io::stdout(), "{}", table.trim_fmt())?)
    }

    /// Prints a value as JSON, in either format.
    pub(super) fn print_json<T: Serialize>(self, value: &T) -> Result<(), OperatorError> {
        let text = serde_json::to_string_pretty(value)?;
        Ok(writeln!(io::stdout(), "{text}")?)
    }

    /// Prints a line of text, or nothing if the format is JSON.
    pub(super) fn print_line(self, line: &str) -> Result<(), OperatorError> {
        if self.is_json {
            return Ok(());
        }
        Ok(writeln!(io::stdout(), "{line}")?)
    }
}
