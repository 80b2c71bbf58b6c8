//! A recorded run and the outcomes it has to have.

use serde::Deserialize;

use crate::timeline::Event;

use super::{Error, Outcome};

/// Events in the order of their time, and stated outcomes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Trace {
    /// Recorded events.
    pub events: Vec<Event>,
    /// Stated outcomes.
    pub outcomes: Vec<Outcome>,
}

/// One line of a trace.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Line {
    Event(Box<Event>),
    Outcome(Outcome),
}

impl Trace {
    /// Parses a trace. Empty lines and lines that start with `#` are skipped.
    ///
    /// # Errors
    ///
    /// [`Error::Line`] names the first line that cannot be read.
    ///
    /// ```
    /// use sassafrasmast_core::replay::Trace;
    /// let text = r#"
    /// ## An agent that only starts.
    /// {"at_ns":1,"process":"dispatch-1","incarnation":7,"kind":{"what":"started"}}
    /// {"expect":"answers","process":"dispatch-1","count":0}
    /// "#.replace("## ", "# ");
    /// let trace = Trace::parse(&text).unwrap();
    /// assert_eq!((trace.events.len(), trace.outcomes.len()), (1, 1));
    /// assert!(Trace::parse("{}").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut trace = Self::default();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let parsed = serde_json::from_str(line).map_err(|_| Error::Line {
                line: index + 1,
                reason: Self::reason(line),
            })?;
            match parsed {
                Line::Event(event) => trace.events.push(*event),
                Line::Outcome(outcome) => trace.outcomes.push(outcome),
            }
        }
        trace.events.sort_by_key(|event| event.at_ns);
        Ok(trace)
    }

    /// The reason of the kind of line that was most likely meant.
    fn reason(line: &str) -> String {
        let outcome = line.contains("\"expect\"");
        let error = match outcome {
            true => serde_json::from_str::<Outcome>(line).err(),
            false => serde_json::from_str::<Event>(line).err(),
        };
        error.map_or_else(String::new, |error| error.to_string())
    }
}
