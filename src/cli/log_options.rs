use std::str::FromStr;
use std::sync::Arc;

use bpaf::{Parser, long};
use spdlog::formatter::{FullFormatter, JsonFormatter};
use spdlog::sink::StdStreamSink;
use spdlog::{Level, LevelFilter, Logger};

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines.
    Text,
    /// One JSON object per line.
    Json,
}

/// Options of the log on standard error, which is separate from an
/// [`EventLog`](crate::event_log::EventLog).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogOptions {
    /// The least severe level that is written.
    pub level: Level,
    /// How lines are written.
    pub format: LogFormat,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("expected text or json, got {text:?}")),
        }
    }
}

/// Returns the parser of the log options, which all binaries share.
pub fn log_options() -> impl Parser<LogOptions> {
    let level = long("log-level")
        .help("Least severe level: critical, error, warn, info, debug, trace")
        .argument::<String>("LEVEL")
        .parse(|text| Level::from_str(&text).map_err(|err| err.to_string()))
        .fallback(Level::Info);
    let format = long("log-format")
        .help("text or json")
        .argument::<LogFormat>("FORMAT")
        .fallback(LogFormat::Text);
    bpaf::construct!(LogOptions { level, format })
}

impl LogOptions {
    /// Starts logging to standard error. If standard error is unusable, nothing is logged.
    pub fn start(self) {
        let sink = StdStreamSink::builder().stderr();
        let sink = match self.format {
            LogFormat::Text => {
                sink.formatter(FullFormatter::builder().source_location(false).build()).build_arc()
            }
            LogFormat::Json => sink.formatter(JsonFormatter::new()).build_arc(),
        };
        let Ok(sink) = sink else { return };
        let logger = Logger::builder()
            .sink(sink)
            .level_filter(LevelFilter::MoreSevereEqual(self.level))
            .build();
        if let Ok(logger) = logger {
            spdlog::set_default_logger(Arc::new(logger));
        }
    }
}
