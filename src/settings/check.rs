use std::collections::BTreeMap;

use super::{Account, CheckError, Group, KeyDigest, Route, Service, Team};

const MAX_NAME_CHARS: usize = 64;
const MAX_SLOTS: u32 = 4_096;
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Checks a team's subtree as a whole. The same check runs in `ebonyusher-ctl check`, in the
/// administration API and in each process that receives settings.
///
/// # Errors
/// [`CheckError`] with the JSON path of the first fault.
///
/// ```
/// # use ebonyusher::settings::{Team, check_team};
/// assert!(check_team(&Team::default()).is_ok());
/// ```
pub fn check_team(team: &Team) -> Result<(), CheckError> {
    for (name, service) in &team.services {
        check_name("services", name)?;
        check_service(name, service)?;
    }
    for (index, route) in team.routes.iter().enumerate() {
        check_route(index, route, &team.services)?;
    }
    check_accounts(&team.accounts)
}

fn fault<T>(place: String, reason: &str) -> Result<T, CheckError> {
    Err(CheckError { place, reason: reason.to_owned() })
}

fn check_name(place: &str, name: &str) -> Result<(), CheckError> {
    let is_valid = (1..=MAX_NAME_CHARS).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    if is_valid {
        return Ok(());
    }
    fault(format!("{place}.{name}"), "expected a name of 1 to 64 of a-z, 0-9 and -")
}

fn check_service(name: &str, service: &Service) -> Result<(), CheckError> {
    let place = |field: &str| format!("services.{name}.{field}");
    if !(1..=MAX_SLOTS).contains(&service.slots) {
        return fault(place("slots"), "expected 1 to 4096");
    }
    if service.deadline.get().is_zero() {
        return fault(place("deadline"), "expected more than 0s");
    }
    if service.queue_wait.is_some_and(|wait| wait > service.deadline) {
        return fault(place("queue-wait"), "expected at most the deadline");
    }
    if service.max_body.bytes() == 0 {
        return fault(place("max-body"), "expected more than 0B");
    }
    if !(0.0..=1.0).contains(&service.retry_share) {
        return fault(place("retry-share"), "expected 0 to 1");
    }
    service.group.map_or(Ok(()), |group| check_group(&place("group"), &group))
}

fn check_group(place: &str, group: &Group) -> Result<(), CheckError> {
    let sum = group.skew + group.moves;
    let is_valid = group.skew >= 0.0 && group.moves >= 0.0 && sum.is_finite() && sum > 0.0;
    if !is_valid {
        return fault(place.to_owned(), "expected weights of at least 0, one above");
    }
    if group.shape.is_some_and(|shape| !shape.is_valid()) {
        let reason = "expected sizes above 0, slots <= experts <= ranks * slots";
        return fault(format!("{place}.shape"), reason);
    }
    Ok(())
}

fn check_route(
    index: usize,
    route: &Route,
    services: &BTreeMap<String, Service>,
) -> Result<(), CheckError> {
    let place = |field: &str| format!("routes[{index}].{field}");
    if !route.path.starts_with('/') {
        return fault(place("path"), "expected a path that starts with /");
    }
    if !services.contains_key(&route.service) {
        return fault(place("service"), "expected the name of a service of this team");
    }
    if route.methods.iter().all(|method| METHODS.contains(&method.as_str())) {
        return Ok(());
    }
    fault(place("methods"), "expected methods of HTTP in capitals")
}

fn check_accounts(accounts: &BTreeMap<String, Account>) -> Result<(), CheckError> {
    let mut seen: BTreeMap<KeyDigest, &str> = BTreeMap::new();
    for (name, account) in accounts {
        check_name("accounts", name)?;
        check_account(name, account)?;
        for digest in &account.keys {
            if seen.insert(*digest, name).is_some() {
                return fault(format!("accounts.{name}.keys"), "expected keys used only once");
            }
        }
    }
    Ok(())
}

fn check_account(name: &str, account: &Account) -> Result<(), CheckError> {
    let place = |field: &str| format!("accounts.{name}.{field}");
    if !(account.weight.is_finite() && account.weight > 0.0) {
        return fault(place("weight"), "expected more than 0");
    }
    if account.rate.is_some_and(|rate| !(rate.is_finite() && rate > 0.0)) {
        return fault(place("rate"), "expected more than 0");
    }
    if account.in_flight == Some(0) {
        return fault(place("in-flight"), "expected at least 1");
    }
    Ok(())
}
