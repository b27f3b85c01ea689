use std::time::Duration;

/// Converts a time to whole milliseconds.
///
/// ```
/// # use std::time::Duration;
/// # use ebonyusher::units::millis;
/// assert_eq!(millis(Duration::from_micros(2_900)), 2);
/// ```
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
