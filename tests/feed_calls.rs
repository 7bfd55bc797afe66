//! Calls for changes of a feed that are answered slowly.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures_channel::oneshot;
use quetzalpin::gateway::{FeedCall, WatchedFeed, first_answer};
use quetzalpin::prelude::*;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Changes(u32),
    OwnDelay,
}

/// A feed whose calls the test answers, and a clock that the test advances.
#[derive(Default)]
struct ScriptedCalls {
    now_ms: Cell<u64>,
    begun: RefCell<Vec<Option<oneshot::Sender<Answer>>>>,
}

impl ScriptedCalls {
    fn now(&self) -> MonoTime {
        MonoTime::from_millis(self.now_ms.get())
    }

    fn begin(&self) -> FeedCall<'_, Answer> {
        let (sender, receiver) = oneshot::channel();
        self.begun.borrow_mut().push(Some(sender));
        Box::pin(async move { receiver.await.expect("the call ends") })
    }

    fn count(&self) -> usize {
        self.begun.borrow().len()
    }

    /// Answers a call; returns whether anybody waits for it.
    fn answer(&self, index: usize, answer: Answer) -> bool {
        let sender = self.begun.borrow_mut()[index].take();
        sender.expect("answered once").send(answer).is_ok()
    }
}

/// Lets the follower take its next steps.
async fn step() {
    for _ in 0..4 {
        compio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
}

/// Advances the clock, asks for another call where one is overdue, and steps the follower.
async fn advance(calls: &ScriptedCalls, feed: &WatchedFeed, by_ms: u64) {
    calls.now_ms.set(calls.now_ms.get() + by_ms);
    feed.repeat_overdue_call(calls.now(), true);
    step().await;
}

/// A follower that knows of a change which it has not read.
fn follow(
    calls: &Rc<ScriptedCalls>,
    feed: &Rc<WatchedFeed>,
) -> compio::runtime::JoinHandle<(MonoTime, Answer)> {
    feed.record_remote_change(calls.now(), 7);
    let (calls, feed) = (Rc::clone(calls), Rc::clone(feed));
    compio::runtime::spawn(async move {
        let is_delay = |_, answer: &Answer| *answer == Answer::OwnDelay;
        first_answer(&feed, || calls.now(), || calls.begin(), is_delay).await
    })
}

fn scripted() -> (Rc<ScriptedCalls>, Rc<WatchedFeed>) {
    (Rc::default(), Rc::new(WatchedFeed::open("scripted")))
}

/// Guards against a busy process that falls behind: each answer takes 2.9 s, and a call was given up
/// after 1 s, so that no change was ever read.
#[compio::test]
async fn a_slow_answer_is_still_awaited_when_further_calls_have_begun() {
    let (calls, feed) = scripted();
    let following = follow(&calls, &feed);
    step().await;
    for _ in 0..29 {
        advance(&calls, &feed, 100).await;
    }
    assert!(calls.count() > 1, "no call is begun beside the slow one");
    assert!(
        calls.answer(0, Answer::Changes(7)),
        "the slow call was given up"
    );
    let (began_at, answer) = following.await.expect("the follower ends");
    assert_eq!(
        (began_at, answer),
        (MonoTime::from_millis(0), Answer::Changes(7))
    );
}

/// Guards against a feed whose answer was lost: the call in flight never ends.
#[compio::test]
async fn a_call_beside_a_lost_one_brings_the_change() {
    let (calls, feed) = scripted();
    let following = follow(&calls, &feed);
    step().await;
    for _ in 0..10 {
        advance(&calls, &feed, 100).await;
    }
    assert_eq!(calls.count(), 2);
    assert!(calls.answer(1, Answer::Changes(7)));
    let (began_at, _) = following.await.expect("the follower ends");
    assert_eq!(began_at, MonoTime::from_millis(1_000));
}

/// Guards against a storm of calls from a process that is behind: while answers are slow, the pauses
/// between calls grow.
#[compio::test]
async fn few_calls_are_begun_while_answers_are_slow() {
    let (calls, feed) = scripted();
    let following = follow(&calls, &feed);
    step().await;
    for _ in 0..70 {
        advance(&calls, &feed, 100).await;
    }
    assert_eq!(calls.count(), 4, "after 1, 3 and 7 s");
    assert!(!calls.answer(0, Answer::Changes(7)), "three calls are kept");
    assert!(calls.answer(1, Answer::Changes(7)));
    following.await.expect("the follower ends");
}

/// Guards against a timeout of a delayed process that ends the calls that may still be answered.
#[compio::test]
async fn a_timeout_by_own_delay_leaves_the_other_calls_in_flight() {
    let (calls, feed) = scripted();
    let following = follow(&calls, &feed);
    step().await;
    for _ in 0..10 {
        advance(&calls, &feed, 100).await;
    }
    assert!(calls.answer(1, Answer::OwnDelay));
    step().await;
    assert!(calls.answer(0, Answer::Changes(7)));
    let (_, answer) = following.await.expect("the follower ends");
    assert_eq!(answer, Answer::Changes(7));
}

/// Guards against CONFIG: calls beside an answer that is long share its link, so that none of them
/// arrives in time.
#[compio::test]
async fn no_call_is_begun_beside_one_that_goes_on() {
    let (calls, feed) = scripted();
    let following = follow(&calls, &feed);
    step().await;
    for _ in 0..50 {
        feed.progress.record(16 * 1_024);
        advance(&calls, &feed, 100).await;
    }
    assert_eq!(calls.count(), 1);
    for _ in 0..10 {
        advance(&calls, &feed, 100).await;
    }
    assert_eq!(calls.count(), 2, "an answer that stops is not waited for");
    assert!(calls.answer(0, Answer::Changes(7)));
    following.await.expect("the follower ends");
}
