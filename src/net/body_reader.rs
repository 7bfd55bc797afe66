//! Reads bodies within limits of size, time, pace and memory.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use hyper::body::{Body, Frame};

use super::body_pace::BodyProgress;
use super::{
    BodyError, BodyPace, BufferLease, BufferPurpose, ClosureReason, ReadProgress,
    SMALL_MESSAGE_BYTES,
};

/// Time that a body which is behind its pace has left. After this process was suspended, the timer ends
/// before the connection has read what arrived in the meantime.
const LAST_CHANCE: Duration = Duration::from_millis(250);

/// Reads a whole body of at most `limit` bytes within `limit_ms`.
///
/// # Errors
/// [`BodyError`] if the body is too large, too slow or truncated.
pub async fn read_body<B>(body: B, limit: usize, limit_ms: u64) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let received = ReadProgress::default();
    let reading = read_limited(body, limit, None, &received, None);
    compio::time::timeout(Duration::from_millis(limit_ms), reading)
        .await
        .map_err(|_| BodyError::TooSlow(limit_ms))?
}

/// Reads a whole body like [`read_body`], within the process's budget for messages. The lease must be
/// kept as long as the body. A body of a caller must keep the pace of the budget.
///
/// # Errors
/// [`BodyError`] if the body is too large, too slow or truncated, or if memory is short: at once if
/// the body states its length, and later if it brings too little for what it holds.
pub async fn read_leased<B>(
    body: B,
    limit: usize,
    limit_ms: u64,
    lease: &mut BufferLease,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let budget = Rc::clone(lease.budget());
    let pace = (lease.purpose() == BufferPurpose::Call).then(|| budget.pace());
    let read = read_at_pace(body, limit, limit_ms, pace, lease, None).await;
    if matches!(read, Err(BodyError::TooSlow(_))) {
        budget.record_closure(ClosureReason::SlowBody);
    }
    read
}

/// Reads a whole body like [`read_leased`], at the given pace; `None` for any pace. `observed` counts the
/// bytes that arrive, too.
///
/// # Errors
/// As [`read_leased`].
pub async fn read_at_pace<B>(
    body: B,
    limit: usize,
    limit_ms: u64,
    pace: Option<BodyPace>,
    lease: &mut BufferLease,
    observed: Option<&ReadProgress>,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let received = ReadProgress::default();
    let reading = read_limited(body, limit, Some(&mut *lease), &received, observed);
    let read = keep_pace(reading, &received, pace, limit_ms).await;
    if read.is_ok() {
        lease.end_reading();
    }
    read
}

/// Reads a body of at most `limit` bytes in the background and drops it, for at most `limit_ms` and as
/// long as it keeps the pace. The connection of a body that goes on ends.
pub fn discard_body<B>(mut body: B, pace: BodyPace, limit: usize, limit_ms: u64)
where
    B: Body<Data = Bytes> + Unpin + 'static,
{
    compio::runtime::spawn(async move {
        let received = ReadProgress::default();
        let discarding = async {
            while let Some(Ok(frame)) = poll_fn(|context| poll_frame(&mut body, context)).await {
                let length = frame.data_ref().map_or(0, Bytes::len);
                received.record(length);
                if received.bytes() > limit {
                    break;
                }
            }
            Ok(Bytes::new())
        };
        // A body that takes longer is broken off.
        let _ = keep_pace(discarding, &received, Some(pace), limit_ms).await;
    })
    .detach();
}

/// Waits for a body that is being read, and ends that if it falls behind its pace. One timer is set for
/// each window that the body takes.
async fn keep_pace(
    reading: impl Future<Output = Result<Bytes, BodyError>>,
    received: &ReadProgress,
    pace: Option<BodyPace>,
    limit_ms: u64,
) -> Result<Bytes, BodyError> {
    pin_mut!(reading);
    let began_at = Instant::now();
    let limit = Duration::from_millis(limit_ms);
    let mut window = pace.map_or(limit, |pace| Duration::from_millis(pace.grace_ms));
    let mut received_before = 0;
    let mut is_last_chance = false;
    loop {
        let left = limit.saturating_sub(began_at.elapsed());
        let waiting = compio::time::sleep(window.min(left));
        pin_mut!(waiting);
        match select(reading.as_mut(), waiting).await {
            Either::Left((read, _)) => return read,
            Either::Right(((), _)) => {}
        }
        let brought = received.bytes() - received_before;
        let is_behind = pace.is_some_and(|pace| brought < pace.window_bytes());
        if began_at.elapsed() >= limit || (is_behind && is_last_chance) {
            return Err(BodyError::TooSlow(limit_ms));
        }
        is_last_chance = is_behind;
        if is_behind {
            window = LAST_CHANCE;
            continue;
        }
        received_before = received.bytes();
        window = pace.map_or(limit, |pace| Duration::from_millis(pace.window_ms));
    }
}

async fn read_limited<B>(
    mut body: B,
    limit: usize,
    mut lease: Option<&mut BufferLease>,
    received: &ReadProgress,
    observed: Option<&ReadProgress>,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut content = BytesMut::new();
    let mut progress = None;
    if let Some(stated) = body.size_hint().exact() {
        let stated = usize::try_from(stated).unwrap_or(usize::MAX);
        if stated > limit {
            return Err(BodyError::TooLarge(limit));
        }
        grow(&mut lease, &mut progress, stated)?;
        content.reserve(stated);
    }
    while let Some(frame) = next_frame(&mut body, progress.as_deref()).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = content.len() + data.len();
        if length > limit {
            return Err(BodyError::TooLarge(limit));
        }
        if length > content.capacity() {
            let capacity = length.max(2 * content.capacity()).min(limit);
            grow(&mut lease, &mut progress, capacity)?;
            content.reserve(capacity - content.len());
        }
        received.record(data.len());
        if let Some(observed) = observed {
            observed.record(data.len());
        }
        content.extend_from_slice(&data);
        if let Some(lease) = &lease {
            lease.record_progress(content.len());
        }
    }
    Ok(content.freeze())
}

/// Takes memory for a body, and watches its progress once it is large.
fn grow(
    lease: &mut Option<&mut BufferLease>,
    progress: &mut Option<Rc<BodyProgress>>,
    bytes: usize,
) -> Result<(), BodyError> {
    let Some(lease) = lease else {
        return Ok(());
    };
    lease.grow_to(bytes).map_err(BodyError::NoMemory)?;
    let is_watched = lease.purpose().may_give_way() && bytes > SMALL_MESSAGE_BYTES;
    if is_watched && progress.is_none() {
        *progress = Some(lease.begin_reading());
    }
    Ok(())
}

/// The next part of a body; `None` after its end.
async fn next_frame<B>(
    body: &mut B,
    progress: Option<&BodyProgress>,
) -> Result<Option<Frame<Bytes>>, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    poll_fn(|context| {
        if let Some(progress) = progress {
            if progress.has_given_way() {
                return Poll::Ready(Err(BodyError::GaveWay));
            }
            progress.wake_with(context.waker());
        }
        let frame = poll_frame(body, context);
        frame.map(|frame| frame.transpose().map_err(|_| BodyError::Truncated))
    })
    .await
}

fn poll_frame<B>(
    body: &mut B,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, B::Error>>>
where
    B: Body<Data = Bytes> + Unpin,
{
    Pin::new(body).poll_frame(context)
}
