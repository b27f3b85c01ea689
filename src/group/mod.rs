//! group
