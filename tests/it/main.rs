//! Integration tests of the crate, one module for each subject.

mod admin_api;
mod at_most_once;
mod budget;
mod direct_parts;
mod explain;
mod fault_table;
mod group_run;
mod input;
mod leases;
mod leaving;
mod limits;
mod links;
mod models;
mod planner;
mod platform_contract;
mod queue;
mod remap_faults;
mod remap_parts;
mod remap_search;
mod routing;
mod settings_order;
mod suspects;
mod term_store;
mod test_cluster;
mod vote_search;
mod whole_path;
