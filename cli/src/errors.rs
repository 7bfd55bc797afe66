//! Errors of the commands and the exit codes they map to.

use std::process::ExitCode;

use derive_more::{Error, From};
use displaydoc::Display;
use quetzalpin_standins::StandinError;

/// Reason why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum ToolError {
    /// {0}
    Io(std::io::Error),
    /// cannot read {path}: {source}
    #[from(ignore)]
    Log {
        /// Path of the log file.
        path: String,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// no line of the log names request {0}
    #[from(ignore)]
    NotInLog(#[error(not(source))] String),
    /// cannot reach the entry: {0}
    Transport(cyper::Error),
    /// cannot decode the entry's response: {0}
    Decode(serde_json::Error),
    /// {0}
    Standin(StandinError),
    /// the entry refused the request with HTTP status {0}
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
    /// no credential given; pass --credential or set `QUETZALPIN_CREDENTIAL`
    #[from(ignore)]
    NoCredential,
    /// the entry has no decision about this request; it keeps decisions in memory for a limited time
    #[from(ignore)]
    NoDecision,
    /// check failed: {0}
    #[from(ignore)]
    CheckFailed(#[error(not(source))] CheckFailure),
}

/// Check that a quickstart or a benchmark did not pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CheckFailure {
    /// the cold model did not answer
    ColdAnswer,
    /// the stream was not completed
    StreamEnd,
    /// the stamp request did not run exactly once
    StampOnce,
    /// the request with an unreachable deadline was not refused as not run
    NotRunRefusal,
}

/// Exit code for invalid input.
const EXIT_INVALID_INPUT: u8 = 2;

/// Exit code if the entry refused the request or knows no decision about it.
const EXIT_REFUSED: u8 = 4;

/// Exit code if the entry cannot be reached.
const EXIT_UNREACHABLE: u8 = 5;

impl ToolError {
    /// Exit code of the process for this error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::UnknownSubtree(_)
            | Self::UnknownFleet(_)
            | Self::UnknownRank(_)
            | Self::Log { .. }
            | Self::NotInLog(_)
            | Self::NoCredential => ExitCode::from(EXIT_INVALID_INPUT),
            Self::Refused(_) | Self::NoDecision => ExitCode::from(EXIT_REFUSED),
            Self::Transport(_) => ExitCode::from(EXIT_UNREACHABLE),
            _ => ExitCode::FAILURE,
        }
    }
}
