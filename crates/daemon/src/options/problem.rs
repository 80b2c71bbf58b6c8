//! What is wrong with a settings file.

use std::{fmt, ops::Range};

/// One fault, with the key that it is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Line of the file, from 1, if the text itself is at fault.
    pub line: Option<usize>,
    /// Path of the key; empty for the file as a whole.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl Problem {
    /// A fault of the value at `key`.
    pub(super) fn new(key: &str, reason: impl Into<String>) -> Self {
        Self {
            line: None,
            key: key.to_owned(),
            reason: reason.into(),
        }
    }

    /// A fault that the TOML parser found in `text`.
    pub(super) fn of_toml(text: &str, error: &toml::de::Error) -> Self {
        let place = error.span().and_then(|span| place(text, &span));
        let (line, key) = place.unzip();
        Self {
            line,
            key: key.unwrap_or_default(),
            reason: error.message().trim().to_owned(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.reason)
    }
}

/// Line and key at the start of `span`; `None` if it covers several lines.
fn place(text: &str, span: &Range<usize>) -> Option<(usize, String)> {
    let covered = text.get(span.clone())?;
    if covered.trim().contains('\n') {
        return None;
    }
    let before = text.get(..span.start)?;
    let number = before.matches('\n').count();
    let line = text.lines().nth(number)?;
    let key = line.split(['=', '#']).next().unwrap_or(line);
    let key = key.trim().trim_matches(['[', ']']);
    (!key.is_empty()).then(|| (number + 1, key.to_owned()))
}
