use std::env;
use std::path::Path;

use super::explain::explain_files;
use super::{Args, Command, CtlError, Target, show};
use crate::admin::{AdminClient, settings_schema};
use crate::settings::{KeyDigest, Team, check_team, diff, read_file};

const KEY_VARIABLE: &str = "EBONYUSHER_KEY";
const NEW_KEY_VARIABLE: &str = "EBONYUSHER_NEW_KEY";

/// Runs one command and prints its result.
///
/// # Errors
/// [`CtlError`]. Nothing has changed unless the administration API reports that the outcome is
/// unknown.
pub async fn run(args: Args) -> Result<(), CtlError> {
    let json = args.json;
    match args.command {
        Command::Check { file } => {
            read_team(&file)?;
            show::done(json, "no fault found");
        }
        Command::Schema => show::document(&settings_schema()),
        Command::Digest => {
            show::done(json, &KeyDigest::of(&env_variable(NEW_KEY_VARIABLE)?).to_string());
        }
        Command::Get { target } => show::document(&client(&target)?.read(&target.team).await?),
        Command::Apply { target, read_version, file } => {
            apply(json, &target, read_version, &file).await?;
        }
        Command::Diff { target, file } => show_diff(json, &target, &file).await?,
        Command::Revisions { target } => {
            show::revisions(json, &client(&target)?.revisions(&target.team).await?);
        }
        Command::Status { target } => show::status(json, &client(&target)?.status().await?),
        Command::Drain { target, undo, name } => {
            client(&target)?.drain(&name, !undo).await?;
            show::done(json, "done");
        }
        Command::Explain { id, files } => show::lines(json, &explain_files(&id, &files)?),
        Command::Lookup { target, account, service, key } => {
            let client = client(&target)?;
            show::key_state(json, &client.lookup(&target.team, &account, &service, &key).await?);
        }
    }
    Ok(())
}

async fn apply(
    json: bool,
    target: &Target,
    read_version: Option<u64>,
    file: &Path,
) -> Result<(), CtlError> {
    let settings = read_team(file)?;
    let client = client(target)?;
    let read_version = match read_version {
        Some(version) => version,
        None => client.read(&target.team).await?.version,
    };
    let accepted = client.replace(&target.team, &settings, read_version).await?;
    show::accepted(json, &accepted);
    Ok(())
}

async fn show_diff(json: bool, target: &Target, file: &Path) -> Result<(), CtlError> {
    let settings = read_team(file)?;
    let current = client(target)?.read(&target.team).await?.settings;
    let value = |team: &Team| serde_json::to_value(team).unwrap_or_default();
    let changes = diff(&value(&current), &value(&settings));
    show::changes(json, &changes);
    if changes.is_empty() { Ok(()) } else { Err(CtlError::Differs) }
}

fn read_team(file: &Path) -> Result<Team, CtlError> {
    let team: Team = read_file(file)?;
    check_team(&team)?;
    Ok(team)
}

fn client(target: &Target) -> Result<AdminClient, CtlError> {
    Ok(AdminClient::new(target.admin, &env_variable(KEY_VARIABLE)?))
}

fn env_variable(name: &str) -> Result<String, CtlError> {
    env::var(name).map_err(|_| CtlError::NoKey)
}
