//! Runs parsed commands.

use crate::{
    certificate, check, client::Client, command::Command, confirm, exit::Exit, explain, plan,
    processes, replay, status, timeline,
};

/// Runs `command`.
///
/// # Errors
///
/// [`Exit::from_error`] gives the exit code of an error.
pub fn run(command: Command) -> anyhow::Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(dispatch(command))
}

async fn dispatch(command: Command) -> anyhow::Result<Exit> {
    match command {
        Command::Print(text) => {
            print!("{text}");
            Ok(Exit::Done)
        }
        Command::Plan {
            common,
            intent,
            out,
        } => plan::run(&Client::new(common.api), intent, out, common.json).await,
        Command::Confirm {
            common,
            file,
            operation,
            wait,
        } => {
            let client = Client::new(common.api);
            confirm::run(&client, &file, operation, wait, common.json).await
        }
        Command::Status(common) => status::run(&Client::new(common.api), common.json).await,
        Command::Processes { processes, json } => processes::run(&processes, json).await,
        Command::Timeline {
            common,
            processes,
            out,
        } => timeline::run(&Client::new(common.api), processes, out, common.json).await,
        Command::Replay { file, json } => replay::run(&file, json),
        Command::Explain { flow, files } => explain::run(&flow, &files),
        Command::Check(request) => check::run(&request).await,
        Command::Certificate { hosts, out } => certificate::run(hosts, &out),
    }
}
