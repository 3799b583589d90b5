//! Plain-text tables.

use std::fmt;

/// Number of spaces between two columns.
const GAP: usize = 2;

/// A table with a header, each column as wide as its widest cell.
#[derive(Clone, Debug)]
pub struct Table {
    columns: usize,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(header: &[&str]) -> Self {
        let columns = header.len();
        Table { columns, rows: vec![header.iter().map(|cell| (*cell).to_owned()).collect()] }
    }

    /// Appends a row, which must have as many cells as the header.
    pub fn row<const N: usize>(&mut self, cells: [String; N]) {
        debug_assert_eq!(N, self.columns);
        self.rows.push(cells.into());
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let width = |column: usize| {
            let cells = self.rows.iter().map(|row| row[column].chars().count());
            cells.max().unwrap_or(0) + GAP
        };
        let widths: Vec<usize> = (0..self.columns).map(width).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}"));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
