use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::millis;

/// Returns the Unix time in seconds at which something happened that is `age` old.
///
/// ```
/// # use std::time::Duration;
/// # use ebonyusher::units::unix_seconds;
/// assert!(unix_seconds(Duration::from_secs(60)) < unix_seconds(Duration::ZERO));
/// ```
pub fn unix_seconds(age: Duration) -> u64 {
    unix_time(age).as_secs()
}

/// Returns the Unix time in milliseconds at which something happened that is `age` old.
///
/// ```
/// # use std::time::Duration;
/// # use ebonyusher::units::unix_millis;
/// assert!(unix_millis(Duration::from_secs(60)) < unix_millis(Duration::ZERO));
/// ```
pub fn unix_millis(age: Duration) -> u64 {
    millis(unix_time(age))
}

fn unix_time(age: Duration) -> Duration {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.saturating_sub(age)
}
