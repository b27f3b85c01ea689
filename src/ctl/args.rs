use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};

/// The entry and team that a command is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Administration address of an entry.
    pub admin: SocketAddr,
    /// Team whose settings or requests the command reads or changes. `status` and `drain` ignore
    /// it.
    pub team: String,
}

/// A command of the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Check a settings file without sending it.
    Check { file: PathBuf },
    /// Print the JSON schema of a team's settings.
    Schema,
    /// Print the digest of a key read from EBONYUSHER_NEW_KEY.
    Digest,
    /// Print the team's settings.
    Get { target: Target },
    /// Replace the team's settings by a file.
    Apply { target: Target, read_version: Option<u64>, file: PathBuf },
    /// Show the differences between the team's settings and a file.
    Diff { target: Target, file: PathBuf },
    /// List the accepted changes of the team's settings.
    Revisions { target: Target },
    /// Show the settings in force and the state of upstreams.
    Status { target: Target },
    /// Stop new work at an upstream, or allow it again.
    Drain { target: Target, undo: bool, name: String },
    /// Look up the state of an idempotency key.
    Lookup { target: Target, account: String, service: String, key: String },
    /// Show the decisions about a request in saved logs.
    Explain { id: String, files: Vec<PathBuf> },
}

/// The parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Args {
    /// Whether to print JSON for scripts.
    pub json: bool,
    /// The command to run.
    pub command: Command,
}

/// Returns the parser of the command line.
pub fn options() -> OptionParser<Args> {
    let json = long("json").help("Print JSON for scripts").switch();
    let command = command();
    construct!(Args { json, command })
        .to_options()
        .descr("Client of the administration API. The key is read from EBONYUSHER_KEY.")
        .footer("Exit codes: 0 done, 1 refused or different, 2 bad input, 3 unreachable")
        .version(env!("CARGO_PKG_VERSION"))
}

fn target() -> impl Parser<Target> {
    let admin = long("admin").help("Administration address of an entry").argument("ADDR");
    let team = long("team")
        .help("Team whose settings or requests to read or change; status and drain ignore it")
        .argument("TEAM");
    construct!(Target { admin, team })
}

fn file() -> impl Parser<PathBuf> {
    positional("FILE").help("A team's settings in JSON")
}

fn command() -> impl Parser<Command> {
    let check = construct!(Command::Check { file() })
        .to_options()
        .descr("Check a settings file without sending it")
        .command("check");
    let schema = bpaf::pure(Command::Schema)
        .to_options()
        .descr("Print the JSON schema of a team's settings")
        .command("schema");
    let digest = bpaf::pure(Command::Digest)
        .to_options()
        .descr("Print the digest of the key in EBONYUSHER_NEW_KEY, for settings")
        .command("digest");
    let get = construct!(Command::Get { target() })
        .to_options()
        .descr("Print the team's settings with their version")
        .command("get");
    let diff = construct!(Command::Diff { target(), file() })
        .to_options()
        .descr("Show the differences between the team's settings and a file")
        .command("diff");
    let revisions = construct!(Command::Revisions { target() })
        .to_options()
        .descr("List the accepted changes, oldest first")
        .command("revisions");
    let status = construct!(Command::Status { target() })
        .to_options()
        .descr("Show the settings in force and the state of upstreams")
        .command("status");
    construct!([
        check,
        schema,
        digest,
        get,
        apply(),
        diff,
        revisions,
        status,
        drain(),
        lookup(),
        explain()
    ])
}

fn apply() -> impl Parser<Command> {
    let read_version = long("read-version")
        .help("Version that the change is based on; the current version if absent")
        .argument("VERSION")
        .optional();
    construct!(Command::Apply { target(), read_version, file() })
        .to_options()
        .descr("Replace the team's settings by a file")
        .command("apply")
}

fn drain() -> impl Parser<Command> {
    let undo = long("undo").help("Allow new work again").switch();
    let name = positional("NAME").help("Name of the instance");
    construct!(Command::Drain { target(), undo, name })
        .to_options()
        .descr("Stop new work at an upstream")
        .command("drain")
}

fn explain() -> impl Parser<Command> {
    let id = positional("ID").help("Id of the request's attempt");
    let files = positional("LOG").help("Saved logs of the processes").some("name a log file");
    construct!(Command::Explain { id, files })
        .to_options()
        .descr("Show the decisions about a request in saved logs")
        .command("explain")
}

fn lookup() -> impl Parser<Command> {
    let account = positional("ACCOUNT").help("Client account of the team");
    let service = positional("SERVICE").help("Service of the team");
    let key = positional("KEY").help("Idempotency key");
    construct!(Command::Lookup { target(), account, service, key })
        .to_options()
        .descr("Look up the state of the request with an idempotency key")
        .command("lookup")
}
