use crate::Position;

/// The byte offset at which each line starts, so that finding a position takes one binary search.
#[derive(Debug)]
pub(crate) struct LineIndex<'t> {
    text: &'t str,
    line_starts: Vec<usize>,
}

impl<'t> LineIndex<'t> {
    pub(crate) fn new(text: &'t str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(at, _)| at + 1);
        Self {
            text,
            line_starts: std::iter::once(0).chain(after_breaks).collect(),
        }
    }

    pub(crate) fn position(&self, offset_bytes: usize) -> Position {
        let line = self
            .line_starts
            .partition_point(|start| *start <= offset_bytes);
        let start = self.line_starts[line - 1];
        let within = &self.text.as_bytes()[start..offset_bytes.min(self.text.len())];
        let column = String::from_utf8_lossy(within).chars().count() + 1;
        Position {
            line: line as u32,
            column: column as u32,
        }
    }
}
