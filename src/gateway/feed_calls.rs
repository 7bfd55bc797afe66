//! Calls for changes of one feed, several at a time while the platform or this process is slow.

use futures_util::future::{Either, LocalBoxFuture, select, select_all};

use super::WatchedFeed;
use crate::prelude::*;

/// Largest number of calls for changes of one feed at a time. Each waits twice as long as the one
/// before it until the next begins, so that an answer that takes 7 s still arrives.
const MAX_CALLS: usize = 3;

/// Milliseconds after which a call is begun even without a signal; longer than any call takes.
const MAX_CALL_MS: u64 = 60_000;

/// A call for changes.
pub type FeedCall<'a, T> = LocalBoxFuture<'a, T>;

/// Makes calls until one is answered; returns when that call began, and its answer.
///
/// A call that is overdue is kept, since an answer that is only slow would otherwise never arrive;
/// another one is begun beside it. `call` begins one; the others are given up once one has ended.
/// `is_delay` says whether a call that began at the given time failed only because this process was
/// late; its failure then counts only if no other call is left.
pub async fn first_answer<'a, T>(
    feed: &WatchedFeed,
    now: impl Fn() -> MonoTime,
    call: impl Fn() -> FeedCall<'a, T>,
    is_delay: impl Fn(MonoTime, &T) -> bool,
) -> (MonoTime, T) {
    let begin = || (now(), call());
    let mut calls = vec![begin()];
    feed.begin_call(now());
    let answer = loop {
        let ending = select_all(calls.iter_mut().map(|(_, call)| call));
        let repeating = Box::pin(feed.repeat.wait(MAX_CALL_MS));
        let ended = match select(ending, repeating).await {
            Either::Left(((answer, index, _), _)) => Some((answer, index)),
            Either::Right(_) => None,
        };
        if let Some((answer, index)) = ended {
            let (began_at, _) = calls.remove(index);
            if calls.is_empty() || !is_delay(began_at, &answer) {
                break (began_at, answer);
            }
            continue;
        }
        if calls.len() == MAX_CALLS {
            drop(calls.remove(0));
        }
        calls.push(begin());
        feed.begin_further_call(now());
    };
    feed.end_call();
    answer
}
