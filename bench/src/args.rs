//! Command line of `ebonyusher-bench`.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};
use ebonyusher::cli::{LogOptions, log_options};

use crate::expert::{ExpertOptions, TraceKind, TraceSource};
use crate::load::{Fault, FaultAt, LoadOptions, PolicyName};
use crate::slopes::SlopeGroup;

/// What is to be measured.
#[derive(Clone, Debug)]
pub enum Command {
    /// Load on a small fleet.
    Load(LoadOptions),
    /// Policies for expert maps on a trace.
    ExpertMap(ExpertOptions),
    /// What each role costs as one quantity grows.
    Slopes(Option<SlopeGroup>),
    /// What maps by orders cost at several sizes of a group.
    MapOrders(u64),
    /// The capacity page, from a file of slopes.
    Capacity(PathBuf),
}

/// The whole command line.
#[derive(Clone, Debug)]
pub struct Args {
    /// Options of the log.
    pub logs: LogOptions,
    /// The command.
    pub command: Command,
}

/// Parser of the command line.
pub fn options() -> OptionParser<Args> {
    let logs = log_options();
    let command = construct!([load(), expert_map(), map_orders(), slopes(), capacity()]);
    construct!(Args { logs, command })
        .to_options()
        .descr("Load and experiments. The last line on standard output is the report in JSON.")
        .version(env!("CARGO_PKG_VERSION"))
}

fn map_orders() -> impl Parser<Command> {
    let seed = long("seed").help("Seed of the demand").argument("N").fallback(1);
    construct!(Command::MapOrders(seed))
        .to_options()
        .descr("What maps by orders cost at several sizes of a group, as a table")
        .command("map-orders")
}

fn load() -> impl Parser<Command> {
    let entries = long("entries").help("Entries").argument("N").fallback(2);
    let upstreams = long("upstreams").help("Model engines, at least 4").argument("N").fallback(12);
    let accounts = long("accounts").help("Client accounts, at least 2").argument("N").fallback(10);
    let hot_factor = long("hot").help("Factor of the first account").argument("F").fallback(1.0);
    let rate = long("rate").help("Requests a second").argument("R").fallback(200.0);
    let seconds = long("seconds").help("Length of the run").argument("S").fallback(10.0);
    let chat_share = long("chats").help("Share of chats").argument("P").fallback(0.6);
    let names: Vec<&str> = Fault::ALL.iter().map(|fault| fault.as_str()).collect();
    let help = format!("Fault, repeatable, with @SECOND if wanted: {}", names.join(", "));
    let faults = long("fault").help(help.as_str()).argument::<FaultAt>("NAME").many();
    let policy = long("policy")
        .help("Routing: weighed, random, round-robin, least-in-flight")
        .argument("NAME")
        .fallback(PolicyName::PowerOfTwoChoices);
    let seed = long("seed").help("Seed").argument("N").fallback(1);
    let baselines = long("baselines").help("Measure the baselines first").switch();
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
    .guard(|load| load.upstreams >= 4 && load.accounts >= 2 && load.entries >= 1, "too few nodes")
    .guard(|load| load.rate > 0.0 && load.seconds > 0.0, "rate and seconds must be above 0")
    .map(Command::Load)
    .to_options()
    .descr("Load on a small fleet, with faults")
    .command("load")
}

fn expert_map() -> impl Parser<Command> {
    let file =
        long("trace").help("Trace to run").argument::<PathBuf>("FILE").map(TraceSource::File);
    let made = long("make")
        .help("Make a trace: drift, festival, uneven, straggler")
        .argument::<TraceKind>("KIND")
        .map(TraceSource::Generated);
    let source = construct!([file, made]);
    let write = long("write")
        .help("Write the made trace instead of running it")
        .argument("FILE")
        .optional();
    let skew_weight =
        long("skew-weight").help("Weight of even step times").argument("W").fallback(1.0);
    let move_weight = long("move-weight").help("Weight of few moves").argument("W").fallback(1.0);
    let store_mbps = long("store-mbps")
        .help("Megabytes that the weight store gives a second")
        .argument("R")
        .fallback(2_000.0);
    let seed = long("seed").help("Seed of a made trace").argument("N").fallback(1);
    let ranks = long("ranks").help("Ranks of a made trace").argument("N").fallback(64);
    let slots = long("slots").help("Slots of a made trace").argument("N").fallback(5);
    let layers = long("layers").help("Layers of a made trace").argument("N").fallback(2);
    let steps = long("steps").help("Steps of a made trace").argument("N").fallback(2_000);
    let interval = long("interval").help("Steps between plans").argument("N").fallback(5);
    let min_gain = long("least-gain")
        .help("Least fall of skew for which an expert is fetched")
        .argument("G")
        .optional();
    let typical_excess = long("usual-excess")
        .help("Excess of skew at which that gain is asked for")
        .argument("X")
        .optional();
    let plot = long("plot").help("Plot the skew of each step").argument("FILE").optional();
    let curve = long("curve")
        .help("Plot settled skew against moves for several prices of a move")
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
    .guard(|expert| expert.store_mbps > 0.0 && expert.interval > 0, "expected numbers above 0")
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
        .help("Measure only: idle, traffic, settings, group, list")
        .argument::<SlopeGroup>("NAME")
        .optional();
    only.map(Command::Slopes)
        .to_options()
        .descr("Measure what each role costs as one quantity grows")
        .command("slopes")
}

fn capacity() -> impl Parser<Command> {
    let file = long("slopes").help("File that `slopes` printed").argument::<PathBuf>("FILE");
    file.map(Command::Capacity)
        .to_options()
        .descr("Print the capacity page from measured slopes")
        .command("capacity")
}
