//! What an entry learns of the speed and the capacity of upstreams from the requests that it sends.
//! Nothing here uses the network; the clock is an argument.

mod capacity_estimator;
mod capacity_switch;
mod decaying_sum;
mod first_event;
mod group_capacity;
mod plain_load;
mod rating;
mod request_size;
mod sent_request;
mod slow_start;
mod speed_baseline;
mod speed_estimator;
mod work_estimator;

pub use capacity_estimator::CapacityEstimator;
pub use capacity_switch::CapacitySwitch;
pub use decaying_sum::DecayingSum;
pub use first_event::FirstEvent;
pub use group_capacity::GroupCapacity;
pub use plain_load::{PlainLoad, admit_plain};
pub use rating::{Rating, expected_loads};
pub use request_size::RequestSize;
pub use sent_request::SentRequest;
pub use slow_start::SlowStart;
pub use speed_baseline::SpeedBaseline;
pub use speed_estimator::{SLOW_FACTOR, SpeedEstimator};
pub use work_estimator::WorkEstimator;
