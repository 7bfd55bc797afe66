//! Registration of a request that waits for a token of a limited upstream.

use std::rc::Rc;

use super::GatewayContext;
use crate::fleet::UpstreamKey;
use crate::rate_limit::WaitTurn;

/// Keeps a request among those that wait for a token; dropping it removes the request.
pub struct TokenWait {
    context: Rc<GatewayContext>,
    key: UpstreamKey,
    turn: WaitTurn,
}

impl TokenWait {
    /// Registers a request. The first one at an upstream makes this process report at once.
    pub fn begin(context: &Rc<GatewayContext>, key: UpstreamKey, turn: WaitTurn) -> Self {
        let is_first = context.rate_limiter.borrow_mut().begin_wait(key, turn);
        if is_first {
            context.waits.wanted.notify();
        }
        Self {
            context: Rc::clone(context),
            key,
            turn,
        }
    }
}

impl Drop for TokenWait {
    fn drop(&mut self) {
        let mut limiter = self.context.rate_limiter.borrow_mut();
        limiter.end_wait(self.key, self.turn);
    }
}
