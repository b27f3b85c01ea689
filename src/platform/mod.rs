//! What the platform offers: a transactional table, an object store and a list of instances.

mod error;
mod http_platform;
mod instance;
mod instances;
mod objects;
mod row;
mod table;
mod txn;
mod wire;

pub use error::{ListError, ObjectError, TableError};
pub use http_platform::HttpPlatform;
pub use instance::{Instance, Phase};
pub use instances::InstanceList;
pub use objects::ObjectStore;
pub use row::Row;
pub use table::Table;
pub use txn::{Check, Txn, Write};
pub use wire::{COMMIT_PATH, INSTANCES_PATH, OBJECTS_PATH, ROWS_PATH, SCAN_PATH};
