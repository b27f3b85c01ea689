//! The retry budget of the entry.

use ebonyusher::entry::RetryBudget;
use proptest::prelude::*;

proptest! {
    #[test]
    fn retries_never_exceed_their_share_of_the_requests(
        share in 0.0_f64..0.5,
        steps in prop::collection::vec(any::<bool>(), 1..400),
    ) {
        let budget = RetryBudget::new();
        let (mut requests, mut retries) = (0.0, 0.0);
        for retry in steps {
            if retry {
                retries += f64::from(u8::from(budget.spend()));
            } else {
                budget.earn(share);
                requests += 1.0;
            }
        }

        // A new budget holds 10 retries.
        prop_assert!(retries <= 10.0 + requests * share + 1e-6);
    }
}
