//! Lines and columns of a text.

use std::fmt;

use serde::Serialize;

/// Place in a text. Both numbers start at 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Place {
    /// Line.
    pub line: usize,
    /// Column in bytes: counting characters would take quadratic time in a document of one line.
    pub column: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// Finds the places of parts of a text.
///
/// ```
/// use sassafrasmast_check::{Lines, Place};
/// let text = "{\n  \"version\": 7\n}";
/// let lines = Lines::new(text);
/// let version = &text[text.find('7').unwrap()..];
/// assert_eq!(lines.place(version), Place { line: 2, column: 14 });
/// ```
#[derive(Debug, Clone)]
pub struct Lines<'a> {
    text: &'a str,
    /// Offsets at which lines start.
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    /// The lines of `text`.
    pub fn new(text: &'a str) -> Self {
        let breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let starts = std::iter::once(0).chain(breaks).collect();
        Self { text, starts }
    }

    /// The place of `part`, a slice of the text. For any other string it is within the text, too,
    /// but without meaning.
    pub fn place(&self, part: &str) -> Place {
        let offset = part.as_ptr().addr().wrapping_sub(self.text.as_ptr().addr());
        let offset = offset.min(self.text.len());
        let line = self.starts.partition_point(|&start| start <= offset);
        Place {
            line,
            column: offset - self.starts[line - 1] + 1,
        }
    }
}
