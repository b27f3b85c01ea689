//! Several groups of ranks behind one service: each has its own leader, term, map and members, and
//! no order for one of them is carried out in another.

mod calls;
mod host_client;
mod members;
mod orders;
mod selection;
mod sidecars;
mod world;
