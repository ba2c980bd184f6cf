//! Printing results: tables for people, JSON for scripts.

use std::io::{self, Write};

use comfy_table::{Table, presets::NOTHING};
use serde::Serialize;

use super::OperatorError;

/// How results are printed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Output {
    pub(super) is_json: bool,
}

impl Output {
    /// Prints rows.
    pub(super) fn show<T: Serialize>(
        self,
        rows: &[T],
        header: &[&str],
        row: impl Fn(&T) -> Vec<String>,
    ) -> Result<(), OperatorError> {
        if self.is_json {
            return self.show_json(&rows);
        }
        let mut table = Table::new();
        table.load_preset(NOTHING).set_header(header);
        table.add_rows(rows.iter().map(row));
        Ok(writeln!(io::stdout(), "{}", table.trim_fmt())?)
    }

    /// Prints a structure.
    pub(super) fn show_json<T: Serialize>(self, value: &T) -> Result<(), OperatorError> {
        let text = serde_json::to_string_pretty(value)?;
        Ok(writeln!(io::stdout(), "{text}")?)
    }

    /// Prints one line for people, and nothing where JSON is wanted.
    pub(super) fn say(self, line: &str) -> Result<(), OperatorError> {
        if self.is_json {
            return Ok(());
        }
        Ok(writeln!(io::stdout(), "{line}")?)
    }
}
