//! Runs one stand-in as a process: the platform, a model engine or a plain service.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use ebonyusher::cli::{
    EXIT_UNREACHABLE, LogOptions, exit_with, log_options, read_args, stop_signal,
};
use ebonyusher_standin::{
    CrashTrigger, Crashable, Engine, EngineOptions, PlainService, PlainServiceOptions,
    PlatformNode, UpstreamNode,
};

const NAME: &str = "ebonyusher-standin";
/// Time for which a crashed upstream stays down.
const RESTART_TIME: Duration = Duration::from_millis(500);

enum Command {
    Platform { control: SocketAddr },
    Engine { slots: usize, token_ms: u64, ignore_fences: bool },
    Plain { work_ms: u64 },
}

struct Args {
    listen: SocketAddr,
    logs: LogOptions,
    command: Command,
}

fn options() -> OptionParser<Args> {
    let listen = long("listen").help("Address to listen on").argument("ADDR");
    let logs = log_options();
    let command = construct!([platform(), engine(), plain()]);
    construct!(Args { listen, logs, command })
        .to_options()
        .descr("Stand-ins for the platform and for upstreams")
        .version(env!("CARGO_PKG_VERSION"))
}

fn platform() -> impl Parser<Command> {
    let control = long("control")
        .help("Address on which faults and the instance list are changed")
        .argument("ADDR");
    construct!(Command::Platform { control })
        .to_options()
        .descr("Run a platform: table, object store and instance list")
        .command("platform")
}

fn engine() -> impl Parser<Command> {
    let slots = long("slots").help("Max requests that run at a time").argument("N").fallback(8);
    let token_ms = long("token-ms").help("Time between two tokens").argument("MS").fallback(20);
    let ignore_fences =
        long("ignore-fences").help("Accept orders with old fencing tokens").switch();
    construct!(Command::Engine { slots, token_ms, ignore_fences })
        .to_options()
        .descr("Run a model engine")
        .command("engine")
}

fn plain() -> impl Parser<Command> {
    let work_ms = long("work-ms").help("Time that a request takes").argument("MS").fallback(5);
    construct!(Command::Plain { work_ms })
        .to_options()
        .descr("Run a plain service that counts the runs of each idempotency key")
        .command("plain")
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = match read_args(options()) {
        Ok(args) => args,
        Err(code) => return code,
    };
    args.logs.start();
    let ended = match args.command {
        Command::Platform { control } => run_platform(args.listen, control).await,
        Command::Engine { slots, token_ms, ignore_fences } => {
            let token_time = Duration::from_millis(token_ms);
            let check_fences = !ignore_fences;
            let options =
                EngineOptions { slots, token_time, check_fences, ..EngineOptions::default() };
            let (crash, crashes) = CrashTrigger::new();
            run_upstream(args.listen, Engine::new(options, crash), crashes).await
        }
        Command::Plain { work_ms } => {
            let options = PlainServiceOptions { work: Duration::from_millis(work_ms) };
            let (crash, crashes) = CrashTrigger::new();
            run_upstream(args.listen, PlainService::new(options, crash), crashes).await
        }
    };
    ended.map_or_else(|err| exit_with(NAME, &err, EXIT_UNREACHABLE), |()| ExitCode::SUCCESS)
}

async fn run_platform(listen: SocketAddr, control: SocketAddr) -> std::io::Result<()> {
    let node = PlatformNode::start(listen, control).await?;
    stop_signal().await;
    node.close();
    Ok(())
}

async fn run_upstream<H: Crashable>(
    listen: SocketAddr,
    handler: H,
    crashes: tokio::sync::mpsc::Receiver<()>,
) -> std::io::Result<()> {
    let node = UpstreamNode::start(listen, Arc::new(handler), crashes, RESTART_TIME).await?;
    stop_signal().await;
    node.close();
    Ok(())
}
