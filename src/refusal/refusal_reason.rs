//! Reasons for which requests are refused.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// The typed reason of a refusal; the text is the problem document's title.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request body is not valid
    MalformedBody,
    /// The request body is larger than allowed
    OversizedBody,
    /// The request body did not arrive in time
    SlowBody,
    /// A request header is not valid
    MalformedHeader,
    /// The credential is missing or wrong
    WrongCredential,
    /// No such route
    UnknownRoute,
    /// The model, adapter or version is not known to this team
    UnknownModel,
    /// The kind of work is not known to this team
    UnknownKind,
    /// A non-idempotent call needs an Idempotency-Key header
    MissingKey,
    /// The idempotency key was used before with another body
    KeyReused,
    /// Too many attempts were given up under this idempotency key
    TooManyAttempts,
    /// The deadline cannot be met
    DeadlineUnreachable,
    /// The deadline passed while the request waited
    DeadlinePassed,
    /// The waiting queue is full
    QueueFull,
    /// No upstream may hold the model now
    NoReplica,
    /// The upstream is leaving
    UpstreamLeaving,
    /// The request crashed upstreams and is held back
    Quarantined,
    /// The request was in flight at several crashes and is refused for now
    CrashSuspect,
    /// The record that keeps the call from running twice cannot be written now
    RecordUnavailable,
    /// The upstream was lost before the whole answer arrived
    UpstreamLost,
    /// The upstream answered with an error
    UpstreamFailed,
    /// The call was handed over and its result is not known
    ResultUnknown,
    /// The stream cannot go on; it has to begin anew
    StreamNotResumable,
    /// Settings have not been read yet
    NotReady,
    /// The configuration may be out of date
    StaleConfiguration,
    /// Too many requests wait in this process
    Overloaded,
    /// The account has used its rate limit
    AccountLimit,
}

impl RefusalReason {
    /// HTTP status code of the reason.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::MalformedBody | Self::MalformedHeader | Self::MissingKey => 400,
            Self::WrongCredential => 401,
            Self::UnknownRoute | Self::UnknownModel | Self::UnknownKind => 404,
            Self::SlowBody => 408,
            Self::KeyReused | Self::TooManyAttempts => 409,
            Self::OversizedBody => 413,
            Self::Quarantined => 422,
            Self::QueueFull | Self::AccountLimit => 429,
            Self::UpstreamLost | Self::UpstreamFailed | Self::ResultUnknown => 502,
            Self::DeadlineUnreachable
            | Self::NoReplica
            | Self::UpstreamLeaving
            | Self::CrashSuspect
            | Self::RecordUnavailable
            | Self::StreamNotResumable
            | Self::NotReady
            | Self::StaleConfiguration
            | Self::Overloaded => 503,
            Self::DeadlinePassed => 504,
        }
    }

    /// Seconds after which a caller may retry, sent as `Retry-After`; `None` if no retry is
    /// suggested.
    #[must_use]
    pub const fn retry_after_s(self) -> Option<u32> {
        match self {
            Self::UpstreamLeaving
            | Self::NotReady
            | Self::StaleConfiguration
            | Self::NoReplica
            | Self::AccountLimit => Some(1),
            Self::QueueFull | Self::Overloaded | Self::RecordUnavailable => Some(2),
            Self::DeadlineUnreachable | Self::DeadlinePassed => Some(5),
            _ => None,
        }
    }

    /// Whether another upstream may be able to serve the request.
    #[must_use]
    pub const fn is_reroutable(self) -> bool {
        matches!(
            self,
            Self::UpstreamLeaving
                | Self::NoReplica
                | Self::QueueFull
                | Self::DeadlineUnreachable
                | Self::NotReady
                | Self::StaleConfiguration
                | Self::Overloaded
        )
    }
}
