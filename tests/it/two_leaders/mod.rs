//! A search of what two leaders of one group do at once, through the code that switches maps and
//! undoes switches. Each order may be carried out unanswered, or late, or be overtaken by any number
//! of steps of the other leader, and passes may begin at any point. The search looks for a split: a
//! pass that begins while two ranks have maps that differ by version or content.
//!
//! A run is told by its deviations from the plain course, in which the earlier leader comes first
//! and every order is answered. All runs with few deviations are played, and random ones with more.

mod cases;
mod client;
mod event;
mod leader;
mod play;
mod search;
mod world;
