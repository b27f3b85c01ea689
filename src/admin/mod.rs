//! The administration API and its client.

mod action;
mod client;
mod documents;
mod error;
mod handler;
mod readiness;
mod routes;
mod schema;
mod status;

pub use action::Action;
pub use client::{AdminClient, ClientError};
pub use documents::{Accepted, CheckReport, Patch, Replacement};
pub use error::{AdminError, AdminProblem};
pub use handler::AdminHandler;
pub use readiness::Readiness;
pub use routes::{ApiRoute, OPENAPI, ROUTES};
pub use schema::settings_schema;
pub use status::Status;
