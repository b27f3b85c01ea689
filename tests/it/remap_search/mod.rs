//! A model check of how a leader settles the switch of an earlier one. It explores, for three
//! ranks, every interleaving of what the earlier leader may still do with the decisions of the next
//! one: orders may be late, repeated or unanswered, reports old, and the ranks that are armed last
//! unreachable. The next leader may also be the earlier one, after a failed switch. The search
//! looks for a split: a pass that begins under two maps.

mod cases;
mod earlier_leader;
mod earlier_orders;
mod late_order;
mod layout;
mod next_leader;
mod order;
mod order_knowledge;
mod rank;
mod report;
mod search;
mod state;
mod variant;
