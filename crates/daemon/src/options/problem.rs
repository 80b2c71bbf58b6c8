//! Problems found in a settings file.

use std::{fmt, ops::Range};

/// One problem and the key that has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Line of the file, from 1; set for problems found while parsing the text.
    pub line: Option<usize>,
    /// Path of the key; empty for a problem of the file as a whole.
    pub key: String,
    /// What is wrong with the value.
    pub reason: String,
}

impl Problem {
    /// A problem of the value at `key`.
    pub(super) fn new(key: &str, reason: impl Into<String>) -> Self {
        Self {
            line: None,
            key: key.to_owned(),
            reason: reason.into(),
        }
    }

    /// A problem that the TOML parser found in `text`.
    pub(super) fn from_toml(text: &str, error: &toml::de::Error) -> Self {
        let position = error.span().and_then(|span| line_and_key(text, &span));
        let (line, key) = position.unzip();
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
fn line_and_key(text: &str, span: &Range<usize>) -> Option<(usize, String)> {
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
