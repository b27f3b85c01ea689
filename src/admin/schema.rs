use schemars::{Schema, schema_for};

use crate::settings::Team;

/// Returns the JSON schema of a team's settings.
///
/// ```
/// assert!(ebonyusher::admin::settings_schema().get("properties").is_some());
/// ```
pub fn settings_schema() -> Schema {
    schema_for!(Team)
}
