use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::sleep;

/// Waits for a first attempt, starts a second one if that takes longer than `delay`, and gives
/// what succeeds first; the other is dropped and thereby cancelled.
pub(super) async fn first_answer<T, E, F, S>(
    first: F,
    delay: Duration,
    second: impl FnOnce() -> Option<S>,
) -> Result<T, E>
where
    F: Future<Output = Result<T, E>>,
    S: Future<Output = Result<T, E>>,
{
    let mut first = pin!(first);
    tokio::select! {
        end = &mut first => return end,
        () = sleep(delay) => {}
    }
    let Some(second) = second() else {
        return first.await;
    };
    let mut second = pin!(second);
    tokio::select! {
        end = &mut first => match end {
            Ok(answer) => Ok(answer),
            Err(_) => second.await,
        },
        end = &mut second => match end {
            Ok(answer) => Ok(answer),
            Err(_) => first.await,
        },
    }
}
