//! Recorded runs with expectations about their replay.

use crate::timeline::Event;

use super::{Error, Expectation};

/// Events in the order of their time, and expectations.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Trace {
    /// Recorded events.
    pub events: Vec<Event>,
    /// Expectations that the replay has to meet.
    pub expectations: Vec<Expectation>,
}

impl Trace {
    /// Parses a trace. Empty lines and lines that start with `#` are skipped.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidLine`] names the first line that cannot be read.
    ///
    /// The example writes `##` for `#`, because documentation hides lines that start with `#`.
    ///
    /// ```
    /// use sassafrasmast_core::replay::Trace;
    /// let text = r#"
    /// ## An agent that only starts.
    /// {"at_ns":1,"process":"dispatch-1","incarnation":7,"kind":{"what":"started"}}
    /// {"expect":"answers","process":"dispatch-1","count":0}
    /// "#.replace("## ", "# ");
    /// let trace = Trace::parse(&text).unwrap();
    /// assert_eq!((trace.events.len(), trace.expectations.len()), (1, 1));
    /// assert!(Trace::parse("{}").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut trace = Self::default();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let invalid_line = |error: serde_json::Error| Error::InvalidLine {
                line: index + 1,
                reason: error.to_string(),
            };
            if line.contains("\"expect\"") {
                trace
                    .expectations
                    .push(serde_json::from_str(line).map_err(invalid_line)?);
            } else {
                trace
                    .events
                    .push(serde_json::from_str(line).map_err(invalid_line)?);
            }
        }
        trace.events.sort_by_key(|event| event.at_ns);
        Ok(trace)
    }
}
