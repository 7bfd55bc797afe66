//! Failures of the tool, with their exit codes.

use std::process::ExitCode;

use derive_more::{Error, From};
use displaydoc::Display;
use quetzalpin_standins::StandinError;

/// A command could not do its work.
#[derive(Debug, Display, Error, From)]
pub enum ToolError {
    /// {0}
    Io(std::io::Error),
    /// cannot read {path}: {source}
    #[from(ignore)]
    Log {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// no line of the log names request {0}
    #[from(ignore)]
    NotInLog(#[error(not(source))] String),
    /// the entry cannot be reached: {0}
    Transport(cyper::Error),
    /// the entry's answer cannot be read: {0}
    Answer(serde_json::Error),
    /// {0}
    Standin(StandinError),
    /// the entry refused with status {0}
    #[from(ignore)]
    Refused(#[error(not(source))] u16),
    /// {0} is not a subtree; expected root or team.NAME
    #[from(ignore)]
    UnknownSubtree(#[error(not(source))] String),
    /// {0} is not an example fleet; expected office or nocturne
    #[from(ignore)]
    UnknownFleet(#[error(not(source))] String),
    /// {0} is not a rank; expected urgent, normal or background
    #[from(ignore)]
    UnknownRank(#[error(not(source))] String),
    /// a credential is needed: --credential or `QUETZALPIN_CREDENTIAL`
    #[from(ignore)]
    NoCredential,
    /// no decision about this request is known; decisions are kept for a while in memory
    #[from(ignore)]
    NoDecision,
    /// a check of the run failed: {0}
    #[from(ignore)]
    CheckFailed(#[error(not(source))] CheckFailure),
}

/// What a run did not show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CheckFailure {
    /// the cold model did not answer
    ColdAnswer,
    /// the stream did not end whole
    StreamEnd,
    /// the stamp did not run exactly once
    StampOnce,
    /// the hopeless request was not refused as not run
    HonestRefusal,
}

/// Exit code for wrong input.
const EXIT_INPUT: u8 = 2;

/// Exit code where the entry refused.
const EXIT_REFUSED: u8 = 4;

/// Exit code where the entry cannot be reached.
const EXIT_UNREACHABLE: u8 = 5;

impl ToolError {
    /// The exit code that goes with the failure.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::UnknownSubtree(_)
            | Self::UnknownFleet(_)
            | Self::UnknownRank(_)
            | Self::Log { .. }
            | Self::NotInLog(_)
            | Self::NoCredential => ExitCode::from(EXIT_INPUT),
            Self::Refused(_) | Self::NoDecision => ExitCode::from(EXIT_REFUSED),
            Self::Transport(_) => ExitCode::from(EXIT_UNREACHABLE),
            _ => ExitCode::FAILURE,
        }
    }
}
