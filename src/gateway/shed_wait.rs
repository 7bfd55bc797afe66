//! Lets requests give way while the upstreams that could serve them are full.

use std::time::Duration;

use hyper::StatusCode;

use super::{AnswerHead, CallPlan, GatewayContext};
use crate::prelude::*;
use crate::shedding::{RequestWork, ShedVerdict};

/// What a request does next.
pub enum ShedStep {
    /// It is sent.
    Send,
    /// It has waited and chooses its upstream again.
    Waited,
    /// It is refused; a new one may be sent after this many milliseconds.
    Refuse(u64),
}

impl GatewayContext {
    /// Decides whether a request is sent, and waits if it is delayed. `is_first` on the first call
    /// for a request.
    pub async fn ask_to_send(&self, now: MonoTime, plan: &CallPlan, is_first: bool) -> ShedStep {
        let work = self.work_of(now, plan);
        let verdict = self.decide_to_send(now, work, is_first);
        if verdict == ShedVerdict::Send {
            return ShedStep::Send;
        }
        let is_refused = matches!(verdict, ShedVerdict::Refuse { .. });
        if is_first || is_refused {
            log::info!(
                request:% = plan.request,
                rank = work.rank,
                tokens = work.tokens,
                left_ms = work.left_ms,
                price = self.shedder.borrow().price(now),
                verdict:? = verdict;
                "request gives way"
            );
        }
        match verdict {
            ShedVerdict::Send => ShedStep::Send,
            ShedVerdict::Delay(wait_ms) => {
                if is_first {
                    self.metrics.record_given_way(plan.rank, "delayed".into());
                }
                compio::time::sleep(Duration::from_millis(wait_ms)).await;
                ShedStep::Waited
            }
            ShedVerdict::Refuse { retry_ms } => ShedStep::Refuse(retry_ms),
        }
    }

    fn decide_to_send(&self, now: MonoTime, work: RequestWork, is_first: bool) -> ShedVerdict {
        let mut shedder = self.shedder.borrow_mut();
        if is_first {
            shedder.record_arrived(now, work);
        }
        let verdict = shedder.verdict(now, work);
        if verdict == ShedVerdict::Send {
            shedder.record_sent(now, work);
        }
        verdict
    }

    /// Records that an upstream did not run a request because it is full. A refusal for another
    /// reason, such as a rate limit, says nothing of that.
    pub fn record_full(&self, plan: &CallPlan, head: &AnswerHead, status: StatusCode) {
        let is_full_status = matches!(
            status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        );
        let notice = &head.notice;
        if is_full_status && !notice.is_leaving && notice.rate_limit.is_none() {
            let now = self.now();
            let work = self.work_of(now, plan);
            self.shedder.borrow_mut().record_full(now, work);
        }
    }

    fn work_of(&self, now: MonoTime, plan: &CallPlan) -> RequestWork {
        RequestWork {
            rank: plan.rank,
            tokens: plan.prompt_tokens.saturating_add(plan.answer_tokens),
            left_ms: self.wait_limit(plan).millis_since(now),
        }
    }
}
