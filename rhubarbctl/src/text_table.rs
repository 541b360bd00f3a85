use std::fmt;

/// Plain-text table with columns as wide as their widest cell.
#[derive(Debug, Clone, Default)]
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    pub(crate) fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(|heading| heading.to_uppercase());
        Self {
            rows: vec![headings.collect()],
        }
    }

    #[must_use = "returns the table with the row added"]
    pub(crate) fn row<const N: usize>(mut self, cells: [String; N]) -> Self {
        self.rows.push(cells.into());
        self
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.first().map_or(0, Vec::len);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let padded = cells.map(|(cell, &width)| format!("{cell:width$}"));
            let line = padded.collect::<Vec<_>>().join("  ");
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
