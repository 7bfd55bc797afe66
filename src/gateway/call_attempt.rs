//! One attempt of a request at one upstream, and how its answer is judged.

use std::rc::Rc;

use futures_util::future::{Either, select};
use futures_util::pin_mut;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{Request, Response, StatusCode};

use super::answer_framing::{BodyFraming, unsent_length};
use super::buffered_call::BufferedCall;
use super::call_guard::CallGuard;
use super::stream_relay::StartedStream;
use super::upstream_call::{CallFailure, UpstreamConnection, call_upstream};
use super::upstream_stream::{StreamFailure, UpstreamStream};
use super::whole_answer::WholeAnswer;
use super::{AnswerHead, AttemptHead, AttemptResult, GatewayContext};
use crate::fleet::{UpstreamEntry, UpstreamKey};
use crate::net::{BodyError, HttpBody, full_body};
use crate::prelude::*;
use crate::quarantine::AnswerProgress;
use crate::rate_limit::RequestRate;
use crate::upstream_speed::BeginForecast;

/// Connect timeout to an upstream in milliseconds; remote regions answer within 60 ms.
const CONNECT_TIMEOUT_MS: u64 = 350;

/// How one attempt ended.
pub enum AttemptEnd {
    /// The response for the client.
    Answer(Response<HttpBody>),
    /// A response with a stream of which the first events have arrived.
    Stream(Box<StartedStream>),
    /// The upstream did not run the request; another one may.
    NotRun,
    /// The request may have run.
    Unknown(RefusalReason),
    /// The upstream crashed as it began to answer; another one might, too.
    Crashed,
}

/// Result of one attempt.
pub struct AttemptOutcome {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Whether the request reached the upstream.
    pub is_sent: bool,
    /// Whether the request should try other upstreams first from now on.
    pub is_excluded: bool,
}

impl AttemptOutcome {
    const fn unsent(is_excluded: bool) -> Self {
        Self {
            end: AttemptEnd::NotRun,
            is_sent: false,
            is_excluded,
        }
    }

    const fn sent(end: AttemptEnd, is_excluded: bool) -> Self {
        Self {
            end,
            is_sent: true,
            is_excluded,
        }
    }
}

/// One attempt of a request at an upstream.
pub struct CallAttempt<'a> {
    /// Gateway state.
    pub context: &'a Rc<GatewayContext>,
    /// The request.
    pub call: &'a BufferedCall,
    /// The upstream.
    pub key: UpstreamKey,
    /// Estimated number of requests there.
    pub load: u32,
    /// Number of upstreams that could serve the request.
    pub candidates: usize,
    /// Id of the last event that this answer has brought to the client; `None` before the first one.
    pub resume_after: Option<u64>,
}

impl CallAttempt<'_> {
    /// Sends the request and waits for the answer, or for the first events of a stream.
    pub async fn run(self) -> AttemptOutcome {
        let context = self.context;
        let entry = context.roster.borrow().get(self.key).cloned();
        let Some(entry) = entry else {
            return AttemptOutcome::unsent(false);
        };
        // Every request to an upstream is counted here: first attempts, retries and resumed streams.
        if !context
            .rate_limiter
            .borrow_mut()
            .take(context.now(), self.key)
        {
            return AttemptOutcome::unsent(false);
        }
        let left_ms = self.call.plan.ends_at.millis_since(context.now());
        self.log_start(&entry, left_ms);
        let mut guard = CallGuard::begin(context, self.call, self.key, &entry);
        let request = self.build_request(&AttemptHead {
            deadline_ms: left_ms,
            upstream: entry.id.clone(),
            priority: self
                .call
                .plan
                .need
                .as_ref()
                .map(|_| engine_priority(self.call.plan.rank)),
            resume_after: self.resume_after,
            account: self.call.plan.account.clone(),
        });
        let connect_ms = CONNECT_TIMEOUT_MS.min(left_ms);
        let exchange = async {
            match call_upstream(entry.address, request, connect_ms, left_ms).await {
                Ok((response, connection)) => self.judge(&entry, response, connection, guard).await,
                Err(failure) => self.fail(&failure, &mut guard).await,
            }
        };
        pin_mut!(exchange);
        match select(exchange, context.exit_near()).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(((), _)) => {
                log::info!(request:% = self.call.plan.request, upstream:% = entry.id; "attempt given up at the end of the shutdown");
                let end = AttemptEnd::Unknown(RefusalReason::ResultUnknown);
                AttemptOutcome::sent(end, true)
            }
        }
    }

    /// Id of the last event that the client has received, in this answer or before.
    fn last_received(&self) -> Option<u64> {
        let resume = self.call.plan.resume.as_ref();
        self.resume_after.or(resume.and_then(|resume| resume.after))
    }

    fn log_start(&self, entry: &UpstreamEntry, left_ms: u64) {
        let plan = &self.call.plan;
        let now = self.context.now();
        let forecast = self.begin_forecast(entry, now);
        log::info!(
            request:% = plan.request,
            route:% = plan.route,
            config = plan.catalog_version,
            account = plan.account.as_ref().map(AccountName::as_str),
            upstream:% = entry.id,
            software = entry.software.as_ref().map(SoftwareVersion::as_str),
            resume_after = self.last_received(),
            need:% = plan.need.as_ref().map(ToString::to_string).unwrap_or_default(),
            load = self.load,
            duration = forecast.is_known().then(|| forecast.rounded_factor()),
            duration_age_ms = self.context.speeds.borrow().figure_age_ms(now, self.key),
            begin_ms = forecast.is_known().then(|| forecast.begin_ms().round()),
            load_age_ms = self.context.loads.borrow().report_age_ms(now, self.key),
            limit_per_s = self.context.rate_limiter.borrow().limit(self.key).map(RequestRate::per_s),
            candidates = self.candidates,
            list_age_ms = self.context.feeds.roster.age_ms(now),
            waited_ms = now.millis_since(plan.arrived_at),
            left_ms;
            "attempt"
        );
    }

    /// When the upstream is expected to begin, as the choice of it assumed.
    fn begin_forecast(&self, entry: &UpstreamEntry, now: MonoTime) -> BeginForecast {
        let speeds = self.context.speeds.borrow();
        BeginForecast {
            load: self.load,
            slots: entry.slots,
            unread_tokens: self.context.loads.borrow().unread_tokens(self.key),
            request_ms: speeds.request_ms(&entry.service),
            duration: speeds.speed(now, self.key).present,
        }
    }

    fn build_request(&self, head: &AttemptHead) -> Request<HttpBody> {
        let mut parts = self.call.parts.clone();
        self.context
            .ports
            .header_codec
            .write_attempt(&mut parts.headers, head);
        Request::from_parts(parts, full_body(self.call.body.clone()))
    }

    fn record(&self, result: AttemptResult) {
        let now = self.context.now();
        self.context
            .loads
            .borrow_mut()
            .record_result(now, self.key, result);
    }

    /// Ends an attempt without a response.
    async fn fail(&self, failure: &CallFailure, guard: &mut CallGuard) -> AttemptOutcome {
        let request = &self.call.plan.request;
        match failure {
            CallFailure::Unsent(error) => {
                guard.set_outcome("unsent");
                self.record(AttemptResult::Unreachable);
                log::warn!(request:% = request, error:% = error; "connection to upstream failed");
                AttemptOutcome::unsent(true)
            }
            CallFailure::Lost(error) => {
                guard.set_outcome("lost");
                self.record(AttemptResult::Failed);
                log::warn!(request:% = request, error:% = error; "upstream lost");
                guard.record_loss(AnswerProgress::NOTHING).await;
                let end = AttemptEnd::Unknown(RefusalReason::UpstreamLost);
                AttemptOutcome::sent(end, true)
            }
            CallFailure::TimedOut => {
                guard.set_outcome("no_answer");
                self.record(AttemptResult::Failed);
                let end = AttemptEnd::Unknown(RefusalReason::DeadlinePassed);
                AttemptOutcome::sent(end, false)
            }
        }
    }

    /// Decides from the response head whether the request ran, and reads the answer.
    async fn judge(
        &self,
        upstream: &UpstreamEntry,
        response: Response<Incoming>,
        connection: UpstreamConnection,
        mut guard: CallGuard,
    ) -> AttemptOutcome {
        let context = self.context;
        let now = context.now();
        let codec = &context.ports.header_codec;
        let (mut parts, incoming) = response.into_parts();
        let head = codec.read_answer(parts.status, &parts.headers);
        // An answer to another request says nothing of this one, nor of the upstream's present state.
        let is_own_answer = !self.is_other_request(&head);
        if is_own_answer {
            context.record_notice(now, self.key, upstream, head.notice);
        }
        if head.is_not_run && is_own_answer {
            guard.set_outcome("not_run");
            let is_excluded = self.record_refusal(&head, parts.status);
            return AttemptOutcome::sent(AttemptEnd::NotRun, is_excluded);
        }
        if self.is_wrong_answer(&head, parts.status) {
            guard.set_outcome("wrong_answer");
            self.record(AttemptResult::Failed);
            let end = AttemptEnd::Unknown(RefusalReason::UpstreamFailed);
            return AttemptOutcome::sent(end, true);
        }
        let unsent_length = unsent_length(&self.call.parts.method, &parts);
        let framing = BodyFraming::of(&self.call.parts.method, &parts);
        codec.strip_answer(&mut parts.headers);
        self.record(if parts.status.is_server_error() {
            AttemptResult::Failed
        } else {
            AttemptResult::Answered
        });
        context.record_answered(&self.call.plan, now);
        // A failure has a text instead of events.
        if self.call.plan.is_stream() && parts.status.is_success() {
            let stream = UpstreamStream::open(incoming, framing, guard, connection);
            return match StartedStream::open(parts, stream, self.last_received()).await {
                Ok(stream) => AttemptOutcome::sent(AttemptEnd::Stream(Box::new(stream)), false),
                Err(StreamFailure::Crashed) => AttemptOutcome::sent(self.crash_end(), true),
                Err(failure) => AttemptOutcome::sent(AttemptEnd::Unknown(failure.reason()), true),
            };
        }
        let left_ms = self.call.plan.ends_at.millis_since(now);
        match WholeAnswer::read(incoming, &context.buffers, left_ms).await {
            Ok(answer) => {
                if parts.status.is_success() && answer.is_whole() {
                    guard.record_end(framing, AnswerProgress::BEGUN);
                }
                let length = answer.stated_length().map(HeaderValue::from);
                if let Some(length) = unsent_length.or(length) {
                    parts.headers.insert(CONTENT_LENGTH, length);
                }
                let body = answer.into_body(framing, guard, connection);
                let end = AttemptEnd::Answer(Response::from_parts(parts, body));
                AttemptOutcome::sent(end, false)
            }
            Err(error) => {
                guard.set_outcome("cut_by_upstream");
                self.record(AttemptResult::Failed);
                log::warn!(request:% = self.call.plan.request, error:% = error; "upstream response body incomplete");
                let is_lost = matches!(error, BodyError::Truncated);
                if is_lost && guard.record_loss(AnswerProgress::BEGUN).await {
                    return AttemptOutcome::sent(self.crash_end(), true);
                }
                let end = AttemptEnd::Unknown(RefusalReason::UpstreamLost);
                AttemptOutcome::sent(end, true)
            }
        }
    }

    /// The end of an attempt whose upstream crashed once the answer had begun. A request with parts that
    /// others share is not repeated, since one of them may be at fault.
    fn crash_end(&self) -> AttemptEnd {
        if self.call.plan.parts.is_empty() {
            AttemptEnd::Unknown(RefusalReason::UpstreamLost)
        } else {
            AttemptEnd::Crashed
        }
    }

    /// Whether the response cannot be the upstream's answer to this request.
    fn is_wrong_answer(&self, head: &AnswerHead, status: StatusCode) -> bool {
        // These statuses promise that the request did not run, which the upstream did not say.
        let is_reserved_status = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        is_reserved_status
            || self.is_other_request(head)
            || (status.is_success() && !head.is_sealed)
    }

    /// Whether the response names another request.
    fn is_other_request(&self, head: &AnswerHead) -> bool {
        let request = head.request.as_ref();
        request.is_some_and(|id| *id != self.call.plan.request)
    }

    /// Records why the upstream did not run the request. Returns whether the request should try
    /// other upstreams first.
    fn record_refusal(&self, head: &AnswerHead, status: StatusCode) -> bool {
        let plan = &self.call.plan;
        log::info!(request:% = plan.request, status = status.as_u16(); "refused by upstream");
        if head.is_other_upstream {
            self.record(AttemptResult::Unreachable);
            return true;
        }
        match &plan.need {
            Some(need) if status == StatusCode::MISDIRECTED_REQUEST => {
                let now = self.context.now();
                self.context.record_missing(now, self.key, need);
                false
            }
            _ => {
                self.context.record_full(plan, head, status);
                true
            }
        }
    }
}

/// Maps a rank to an engine priority; ranks beyond the last priority share it.
fn engine_priority(rank: u8) -> u8 {
    const LAST_PRIORITY: u8 = 9;
    rank.saturating_mul(2).min(LAST_PRIORITY)
}
