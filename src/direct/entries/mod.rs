//! The entries that share what all of them together may spend.

mod entry_row;
mod entry_sharing;
mod known_entries;

pub use entry_row::EntryRow;
pub(super) use entry_sharing::EntrySharing;
pub use known_entries::KnownEntries;
