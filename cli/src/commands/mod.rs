//! The commands.

mod campaign_command;
mod explain_command;
mod explain_log;
mod quickstart_command;
mod settings_command;
mod status_command;

use std::net::SocketAddr;
use std::process::ExitCode;

use crate::bench;
use crate::errors::ToolError;
use crate::flags::{Quetzalpin, QuetzalpinCmd};
use crate::operator_client::OperatorClient;

/// Address of an entry where none is given.
const DEFAULT_ENTRY: ([u8; 4], u16) = ([127, 0, 0, 1], 7100);

/// Variable with the credential.
const CREDENTIAL_VARIABLE: &str = "QUETZALPIN_CREDENTIAL";

/// What commands share.
pub struct CommandContext {
    entry: SocketAddr,
    credential: Option<String>,
    /// Print JSON.
    pub json: bool,
}

impl CommandContext {
    /// A client of the chosen entry.
    ///
    /// # Errors
    /// [`ToolError::NoCredential`] if none was given.
    pub fn client(&self) -> Result<OperatorClient, ToolError> {
        let credential = self.credential.clone().ok_or(ToolError::NoCredential)?;
        OperatorClient::open(self.entry, credential)
    }
}

/// Runs the chosen command.
///
/// # Errors
/// [`ToolError`] if it could not do its work.
pub fn run(flags: Quetzalpin) -> Result<ExitCode, ToolError> {
    let variable = std::env::var(CREDENTIAL_VARIABLE).ok();
    let context = CommandContext {
        entry: flags.entry.unwrap_or_else(|| DEFAULT_ENTRY.into()),
        credential: flags.credential.or(variable),
        json: flags.json,
    };
    let runtime = compio::runtime::Runtime::new()?;
    runtime.block_on(async move {
        match flags.subcommand {
            QuetzalpinCmd::Settings(settings) => {
                settings_command::run(&context, settings.subcommand).await
            }
            QuetzalpinCmd::Status(_) => status_command::run(&context).await,
            QuetzalpinCmd::Explain(explain) => match &explain.log {
                Some(path) => explain_log::run(path, &explain.request, context.json),
                None => explain_command::run(&context, &explain.request).await,
            },
            QuetzalpinCmd::Release(release) => {
                explain_command::release(&context, &release.fingerprint).await
            }
            QuetzalpinCmd::Quickstart(_) => quickstart_command::run().await,
            QuetzalpinCmd::Campaign(campaign) => campaign_command::run(&campaign).await,
            QuetzalpinCmd::Bench(bench) => bench::run(bench.subcommand).await,
        }
    })
}
