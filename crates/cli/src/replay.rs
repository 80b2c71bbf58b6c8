//! Running a recorded time line through the decision core.

use std::path::Path;

use crate::exit::Exit;

/// Replays the recording in `file`.
///
/// # Errors
///
/// If the file cannot be read or an outcome differs from the stated one.
pub fn run(file: &Path, _json: bool) -> anyhow::Result<Exit> {
    anyhow::bail!("{}: replay is not part of this build", file.display())
}
