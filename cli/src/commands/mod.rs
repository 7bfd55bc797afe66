//! Dispatch of the commands and the options they share.

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

/// Entry address used without `--entry`.
const DEFAULT_ENTRY: ([u8; 4], u16) = ([127, 0, 0, 1], 7100);

/// Environment variable that holds the credential if `--credential` is absent.
const CREDENTIAL_ENV_VAR: &str = "QUETZALPIN_CREDENTIAL";

/// Global options, available to every command.
pub struct CommandContext {
    entry: SocketAddr,
    credential: Option<String>,
    /// Whether output is JSON.
    pub is_json: bool,
}

impl CommandContext {
    /// Creates a client of the selected entry.
    ///
    /// # Errors
    /// [`ToolError::NoCredential`] if none was given.
    pub fn client(&self) -> Result<OperatorClient, ToolError> {
        let credential = self.credential.clone().ok_or(ToolError::NoCredential)?;
        OperatorClient::open(self.entry, credential)
    }
}

/// Runs the selected command and returns its exit code.
///
/// # Errors
/// [`ToolError`] if the command failed.
pub fn run(flags: Quetzalpin) -> Result<ExitCode, ToolError> {
    let env_credential = std::env::var(CREDENTIAL_ENV_VAR).ok();
    let context = CommandContext {
        entry: flags.entry.unwrap_or_else(|| DEFAULT_ENTRY.into()),
        credential: flags.credential.or(env_credential),
        is_json: flags.json,
    };
    let runtime = compio::runtime::Runtime::new()?;
    runtime.block_on(async move {
        match flags.subcommand {
            QuetzalpinCmd::Settings(settings) => {
                settings_command::run(&context, settings.subcommand).await
            }
            QuetzalpinCmd::Status(_) => status_command::run(&context).await,
            QuetzalpinCmd::Explain(explain) => match &explain.log {
                Some(path) => explain_log::run(path, &explain.request, context.is_json),
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
