//! How a command ended.

use std::process::ExitCode;

use sassafrasmastd::api;

use crate::client::Error;

/// The closed set of exit codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done,
    /// Failed, for example refused by a rule of the configuration.
    Failed,
    /// Bad arguments or a bad file.
    Usage,
    /// Another plan came first: plan anew.
    Conflict,
    /// No balancer answered, or the store is down; nothing was changed.
    Unreachable,
    /// The plan may or may not be in force: confirm it again.
    Unsettled,
    /// Some processes did not answer, or did not report the confirmed version in time.
    Partial,
}

impl Exit {
    /// The exit code.
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
    pub fn of_error(error: &anyhow::Error) -> Self {
        match error.downcast_ref::<Error>() {
            Some(Error::Unreachable(_)) => Self::Unreachable,
            Some(Error::Cut(_)) => Self::Unsettled,
            Some(Error::Api(error)) => Self::of_api(error),
            _ => Self::Failed,
        }
    }

    fn of_api(error: &api::Error) -> Self {
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
