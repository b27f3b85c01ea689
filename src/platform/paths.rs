/// Path of one row, followed by its key.
pub const ROWS_PATH: &str = "/table/rows/";
/// Path of a scan, followed by the prefix of the keys.
pub const SCAN_PATH: &str = "/table/scan/";
/// Path to which transactions are posted.
pub const COMMIT_PATH: &str = "/table/commit";
/// Path of one object, followed by its name.
pub const OBJECTS_PATH: &str = "/objects/";
/// Path of the list of instances.
pub const INSTANCES_PATH: &str = "/instances";
