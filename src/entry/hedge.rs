use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::sleep;

/// Runs a first attempt, starts a second one if the first takes longer than `delay`, and returns
/// the first success. The other attempt is dropped and thereby cancelled. If both fail, the later
/// error is returned. If `second` returns `None`, only the first attempt is made.
pub(super) async fn first_success<T, E, F, S>(
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
        result = &mut first => return result,
        () = sleep(delay) => {}
    }
    let Some(second) = second() else {
        return first.await;
    };
    let mut second = pin!(second);
    tokio::select! {
        result = &mut first => match result {
            Ok(answer) => Ok(answer),
            Err(_) => second.await,
        },
        result = &mut second => match result {
            Ok(answer) => Ok(answer),
            Err(_) => first.await,
        },
    }
}
