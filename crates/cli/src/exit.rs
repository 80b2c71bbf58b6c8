//! Exit codes of the tool.

use std::process::ExitCode;

use sassafrasmastd::api;

use crate::client::Error;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed, for example because a rule of the configuration refused a change.
    Failed,
    /// The arguments or a file are invalid.
    Usage,
    /// Another plan was confirmed first, or the plan is too old for its outcome to be known: create
    /// a new one.
    Conflict,
    /// No balancer answered or has a configuration, or the store is down or behind; nothing was
    /// changed.
    Unreachable,
    /// The plan may or may not be in force: confirm it again.
    Unsettled,
    /// Some processes did not answer, or did not report the confirmed version in time.
    Partial,
}

impl Exit {
    /// The exit code of the process.
    ///
    /// ```
    /// use sassafrasmast::exit::Exit;
    /// assert_eq!(Exit::Conflict.code(), 3);
    /// ```
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Unreachable => 4,
            Self::Unsettled => 5,
            Self::Partial => 6,
        }
    }

    /// The exit of a command that failed with `error`.
    pub fn from_error(error: &anyhow::Error) -> Self {
        match error.downcast_ref::<Error>() {
            Some(Error::Unreachable(_)) => Self::Unreachable,
            Some(Error::Incomplete(_)) => Self::Unsettled,
            Some(Error::Api(error)) => Self::from_api(error),
            _ => Self::Failed,
        }
    }

    fn from_api(error: &api::Error) -> Self {
        match error {
            api::Error::Conflict { .. } | api::Error::Forgotten { .. } => Self::Conflict,
            api::Error::StoreDown | api::Error::StoreBehind { .. } | api::Error::NotReady => {
                Self::Unreachable
            }
            api::Error::Unsettled => Self::Unsettled,
            api::Error::Altered | api::Error::BadOperation => Self::Usage,
            _ => Self::Failed,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
