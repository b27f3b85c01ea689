//! A search through every interleaving of what an earlier leader may still do with the decisions of
//! the next one, for three ranks: orders late, doubled or unanswered, reports old, and the ranks
//! that are armed last out of reach. The next leader may also be the earlier one, after a failure.

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
