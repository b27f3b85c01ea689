//! Command line of `ebonyusher-bench`.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};
use ebonyusher::cli::{LogOptions, log_options};

use crate::expert::{ExpertOptions, TraceKind, TraceSource};
use crate::load::{Fault, FaultAt, LoadOptions, PolicyName};
use crate::slopes::SlopeGroup;

/// Subcommand of `ebonyusher-bench`.
#[derive(Clone, Debug)]
pub enum Command {
    /// Runs load on a small cluster.
    Load(LoadOptions),
    /// Compares policies for expert maps on a trace.
    ExpertMap(ExpertOptions),
    /// Measures what each role costs as one quantity grows.
    Slopes(Option<SlopeGroup>),
    /// Prints what expert maps sent as orders cost at several group sizes. Holds the seed.
    MapOrders(u64),
    /// Prints the capacity page from a file of slopes.
    Capacity(PathBuf),
    /// Measures the choice of an upstream. Holds the number of upstreams.
    Choice(usize),
}

/// Parsed command line.
#[derive(Clone, Debug)]
pub struct Args {
    /// Log options.
    pub logs: LogOptions,
    /// Subcommand.
    pub command: Command,
}

/// Returns the parser of the command line.
pub fn options() -> OptionParser<Args> {
    let logs = log_options();
    let command = construct!([load(), expert_map(), map_orders(), slopes(), capacity(), choice()]);
    construct!(Args { logs, command })
        .to_options()
        .descr(
            "Load tests and experiments. The last line on standard output is the report in JSON.",
        )
        .version(env!("CARGO_PKG_VERSION"))
}

fn choice() -> impl Parser<Command> {
    let upstreams = long("upstreams").help("Number of upstreams").argument("N").fallback(129);
    construct!(Command::Choice(upstreams))
        .to_options()
        .descr("Measure the choice of an upstream, with and without learned capacity")
        .command("choice")
}

fn map_orders() -> impl Parser<Command> {
    let seed = long("seed").help("Seed of the random demand").argument("N").fallback(1);
    construct!(Command::MapOrders(seed))
        .to_options()
        .descr("Print a table of what expert maps sent as orders cost at several group sizes")
        .command("map-orders")
}

fn load() -> impl Parser<Command> {
    let entries = long("entries").help("Number of entries").argument("N").fallback(2);
    let upstreams =
        long("upstreams").help("Number of model engines, at least 4").argument("N").fallback(12);
    let accounts =
        long("accounts").help("Number of client accounts, at least 2").argument("N").fallback(10);
    let hot_factor = long("hot")
        .help("Factor on the request rate of the first account")
        .argument("F")
        .fallback(1.0);
    let rate = long("rate").help("Requests per second").argument("R").fallback(200.0);
    let seconds =
        long("seconds").help("Duration of the run in seconds").argument("S").fallback(10.0);
    let chat_share =
        long("chats").help("Share of requests that are chats").argument("P").fallback(0.6);
    let names: Vec<&str> = Fault::ALL.iter().map(|fault| fault.as_str()).collect();
    let help =
        format!("Fault to inject, optionally with @SECOND; repeatable: {}", names.join(", "));
    let faults = long("fault").help(help.as_str()).argument::<FaultAt>("NAME").many();
    let policy = long("policy")
        .help("Routing policy: weighed, random, round-robin, least-in-flight")
        .argument("NAME")
        .fallback(PolicyName::PowerOfTwoChoices);
    let seed = long("seed").help("Seed of arrivals and requests").argument("N").fallback(1);
    let baselines =
        long("baselines").help("Measure the overhead over direct requests first").switch();
    construct!(LoadOptions {
        entries,
        upstreams,
        accounts,
        hot_factor,
        rate,
        seconds,
        chat_share,
        faults,
        policy,
        seed,
        baselines
    })
    .guard(
        |load| load.upstreams >= 4 && load.accounts >= 2 && load.entries >= 1,
        "expected at least 4 upstreams, 2 accounts and 1 entry",
    )
    .guard(|load| load.rate > 0.0 && load.seconds > 0.0, "rate and seconds must be above 0")
    .map(Command::Load)
    .to_options()
    .descr("Run load on a small cluster, with faults")
    .command("load")
}

fn expert_map() -> impl Parser<Command> {
    let file =
        long("trace").help("Trace to run").argument::<PathBuf>("FILE").map(TraceSource::File);
    let generated = long("make")
        .help("Generate a trace: drift, festival, uneven, straggler")
        .argument::<TraceKind>("KIND")
        .map(TraceSource::Generated);
    let source = construct!([file, generated]);
    let write = long("write")
        .help("Write the generated trace instead of running it")
        .argument("FILE")
        .optional();
    let skew_weight =
        long("skew-weight").help("Weight of skew in the objective").argument("W").fallback(1.0);
    let move_weight = long("move-weight")
        .help("Weight of moved experts in the objective")
        .argument("W")
        .fallback(1.0);
    let store_mbps = long("store-mbps")
        .help("Megabytes per second that the weight store delivers")
        .argument("R")
        .fallback(2_000.0);
    let seed = long("seed").help("Seed of a generated trace").argument("N").fallback(1);
    let ranks = long("ranks").help("Ranks of a generated trace").argument("N").fallback(64);
    let slots = long("slots")
        .help("Slots per rank and layer of a generated trace")
        .argument("N")
        .fallback(5);
    let layers = long("layers").help("Layers of a generated trace").argument("N").fallback(2);
    let steps = long("steps").help("Steps of a generated trace").argument("N").fallback(2_000);
    let interval = long("interval").help("Steps between plans").argument("N").fallback(5);
    let min_gain = long("least-gain")
        .help("Smallest reduction of skew for which an expert is fetched at the usual excess")
        .argument("G")
        .optional();
    let typical_excess = long("usual-excess")
        .help("Usual excess of skew over 1; a fetch has to gain more below it and less above it")
        .argument("X")
        .optional();
    let plot = long("plot").help("Plot the skew of each step").argument("FILE").optional();
    let curve = long("curve")
        .help("Plot settled skew against moved bytes for several values of --least-gain")
        .argument("FILE")
        .optional();
    construct!(ExpertOptions {
        source,
        write,
        skew_weight,
        move_weight,
        store_mbps,
        seed,
        ranks,
        slots,
        layers,
        steps,
        interval,
        min_gain,
        typical_excess,
        plot,
        curve
    })
    .guard(
        |expert| expert.store_mbps > 0.0 && expert.interval > 0,
        "store-mbps and interval must be above 0",
    )
    .guard(
        |expert| expert.skew_weight >= 0.0 && expert.move_weight >= 0.0,
        "weights must not be negative",
    )
    .map(Command::ExpertMap)
    .to_options()
    .descr("Compare policies for expert maps on a trace")
    .command("expert-map")
}

fn slopes() -> impl Parser<Command> {
    let only = long("only")
        .help("Measure only one group: idle, traffic, settings, group, list")
        .argument::<SlopeGroup>("NAME")
        .optional();
    only.map(Command::Slopes)
        .to_options()
        .descr("Measure what each role costs as one quantity grows")
        .command("slopes")
}

fn capacity() -> impl Parser<Command> {
    let file = long("slopes").help("File with the output of `slopes`").argument::<PathBuf>("FILE");
    file.map(Command::Capacity)
        .to_options()
        .descr("Print the capacity page from measured slopes")
        .command("capacity")
}
