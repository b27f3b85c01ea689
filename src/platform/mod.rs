//! Interfaces to the platform's services (a transactional table, an object store and a list of
//! instances) and a client that calls them over HTTP.

mod error;
mod http_platform;
mod instance;
mod instance_list;
mod object_store;
mod paths;
mod row;
mod table;
mod txn;

pub use error::{ListError, ObjectError, TableError};
pub use http_platform::HttpPlatform;
pub use instance::{Instance, Phase};
pub use instance_list::InstanceList;
pub use object_store::ObjectStore;
pub use paths::{COMMIT_PATH, INSTANCES_PATH, OBJECTS_PATH, ROWS_PATH, SCAN_PATH};
pub use row::Row;
pub use table::Table;
pub use txn::{Check, Txn, Write};
