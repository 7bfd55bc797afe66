//! What a request waits for before it is sent: its model, a token of its upstream, prompts ahead of it,
//! and room at full upstreams.

use std::time::Duration;

use hyper::Response;

use super::{CallFlow, DEFAULT_RETRY_MS};
use crate::fleet::{RouteKind, UpstreamKey};
use crate::gateway::shed_wait::ShedStep;
use crate::gateway::token_wait::TokenWait;
use crate::gateway::{PromptAdmission, UpstreamChoice};
use crate::net::HttpBody;
use crate::prelude::*;

/// Milliseconds after which a waiting request checks again without being woken.
const WAIT_POLL_MS: u64 = 250;

/// Milliseconds that a request waits for an upstream of a service that has none.
const NO_UPSTREAM_WAIT_MS: u64 = 400;

/// Milliseconds after which a request that waits for a token checks again without being woken.
const TOKEN_POLL_MS: u64 = 60;

/// Milliseconds after which a delayed prompt chooses its engine again.
const HOLD_POLL_MS: u64 = 60;

impl CallFlow {
    /// Waits for a change; returns a refusal if the request cannot be served in time.
    pub(super) async fn wait(
        &mut self,
        now: MonoTime,
        generation: u64,
        choice: UpstreamChoice,
    ) -> Option<Response<HttpBody>> {
        let plan = &self.call.plan;
        let need = plan.need.as_ref();
        let need = need.map(|need| need.at_software(self.software.as_ref()));
        let (Some(need), UpstreamChoice::NotLoaded) = (need, choice) else {
            if self.software.is_some() && choice == UpstreamChoice::NoUpstream {
                return Some(self.refuse(RefusalReason::StreamNotResumable, None));
            }
            if !self.tried.is_empty() || now >= plan.arrived_at + NO_UPSTREAM_WAIT_MS {
                return Some(self.refuse(RefusalReason::NoReplica, Some(DEFAULT_RETRY_MS)));
            }
            self.pause(generation, WAIT_POLL_MS).await;
            return None;
        };
        let wait_until = self.context.wait_limit(plan);
        if now >= wait_until {
            let retry_ms = self
                .context
                .waits
                .forecast_ms(&need)
                .unwrap_or(DEFAULT_RETRY_MS);
            return Some(self.refuse(RefusalReason::NoReplica, Some(retry_ms)));
        }
        if !self.has_waited {
            self.has_waited = true;
            log::info!(
                request:% = plan.request,
                need:% = need,
                software = self.software.as_ref().map(SoftwareVersion::as_str),
                forecast_ms = self.context.waits.forecast_ms(&need),
                limit_ms = wait_until.millis_since(now);
                "waiting"
            );
        }
        let (service, rank) = (&plan.service, plan.rank);
        let waits = &self.context.waits;
        let registration = waits.register(need.clone(), service, rank, plan.arrived_at, wait_until);
        let left_ms = wait_until.millis_since(now);
        // Others wait for the same model, so its forecast is known.
        let known_ms = waits.forecast_ms(&need);
        if let Some(forecast_ms) = known_ms.filter(|forecast_ms| *forecast_ms > left_ms)
            && !registration.is_new_want()
        {
            return Some(self.refuse(RefusalReason::DeadlineUnreachable, Some(forecast_ms)));
        }
        self.pause(generation, left_ms.min(WAIT_POLL_MS)).await;
        // Upstreams that refused because the model was not loaded may have it now.
        self.tried.clear();
        drop(registration);
        let forecast_ms = self.context.waits.forecast_ms(&need)?;
        let wait_until = self.context.wait_limit(&self.call.plan);
        let left_ms = wait_until.millis_since(self.context.now());
        if forecast_ms > left_ms {
            return Some(self.refuse(RefusalReason::DeadlineUnreachable, Some(forecast_ms)));
        }
        None
    }

    /// Waits until an upstream accepts the request; returns a refusal if that is too late.
    pub(super) async fn wait_for_token(
        &mut self,
        now: MonoTime,
        generation: u64,
        key: UpstreamKey,
        forecast_ms: u64,
    ) -> Option<Response<HttpBody>> {
        let plan = &self.call.plan;
        // A stream that has begun is past its wait for the first event.
        let wait_until = match self.resume_after {
            Some(_) => plan.ends_at,
            None => self.context.wait_limit(plan),
        };
        let left_ms = wait_until.millis_since(now);
        if forecast_ms > left_ms {
            let mut limiter = self.context.rate_limiter.borrow_mut();
            limiter.record_refused(now, key);
            return Some(self.refuse(RefusalReason::Overloaded, Some(forecast_ms)));
        }
        if !std::mem::replace(&mut self.has_waited_for_token, true) {
            self.context.metrics.token_waits.inc();
            log::info!(request:% = plan.request, forecast_ms, limit_ms = left_ms; "waiting for a token");
        }
        let registration = TokenWait::begin(&self.context, key, plan.wait_turn());
        self.pause(generation, left_ms.min(TOKEN_POLL_MS)).await;
        drop(registration);
        None
    }

    /// Delays the prompt if the engine is still reading others. Returns whether it waited, in which
    /// case the caller chooses the upstream again.
    pub(super) async fn hold_prompt(&mut self, now: MonoTime, key: UpstreamKey) -> bool {
        let plan = &self.call.plan;
        let RouteKind::Stream { gap_ms, .. } = plan.kind else {
            return false;
        };
        let generation = self.context.prompt_read.generation();
        let admission = PromptAdmission {
            now,
            prompt_tokens: plan.prompt_tokens,
            rank: plan.rank,
            target_ms: plan.target_ms,
            held_since: self.held_since,
            unread_tokens: self.context.loads.borrow().unread_tokens(key),
            gap_ms,
            load: self.context.loads.borrow().estimate(now, key),
            speed: self.context.speeds.borrow().speed(now, key),
        };
        let Some(hold_ms) = admission.hold_ms() else {
            return false;
        };
        if self.held_since.is_none() {
            self.held_since = Some(now);
            log::info!(
                request:% = plan.request,
                unread_tokens = admission.unread_tokens,
                prompt_tokens = admission.prompt_tokens,
                hold_ms;
                "prompt held"
            );
        }
        let reading = self.context.prompt_read.wait_after(generation);
        let limit = Duration::from_millis(hold_ms.min(HOLD_POLL_MS));
        let _ = compio::time::timeout(limit, reading).await;
        true
    }

    /// Lets the request give way while upstreams are full. A stream that has begun goes on.
    pub(super) async fn ask_to_send(&mut self, now: MonoTime) -> ShedStep {
        if self.resume_after.is_some() {
            return ShedStep::Send;
        }
        let is_first = !std::mem::replace(&mut self.has_asked_to_send, true);
        let step = self.context.ask_to_send(now, &self.call.plan, is_first);
        let step = step.await;
        if matches!(step, ShedStep::Waited) {
            // Upstreams that were full may have room now.
            self.tried.clear();
        }
        step
    }

    async fn pause(&self, generation: u64, limit_ms: u64) {
        let limit = Duration::from_millis(limit_ms);
        let waking = self.context.waits.woken_after(generation);
        let _ = compio::time::timeout(limit, waking).await;
    }
}
