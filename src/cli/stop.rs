use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT. Never returns if the handlers can't be installed.
pub async fn stop_signal() {
    let (term, int) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut term), Ok(mut int)) = (term, int) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
