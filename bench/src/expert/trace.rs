use std::fs;
use std::path::Path;

use displaydoc::Display;
use ebonyusher::group::Shape;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// First line of a trace: its sizes.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Ranks of the group, which step together.
    pub ranks: usize,
    /// Experts per layer.
    pub experts: usize,
    /// Experts that one rank can hold in one layer.
    pub slots: usize,
    /// Layers with experts.
    pub layers: usize,
    /// Bytes of the weights of one expert.
    pub expert_bytes: u64,
    /// Duration of a step in milliseconds.
    pub step_ms: f64,
}

/// One step: tokens of each expert by layer, and the speeds of the ranks if they change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TraceStep {
    /// Tokens by layer and expert.
    pub tokens: Vec<Vec<f64>>,
    /// Speed of each rank from this step on.
    pub speeds: Option<Vec<f64>>,
}

/// Trace of token counts and rank speeds.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Sizes of the trace.
    pub header: TraceHeader,
    /// Steps in order.
    pub steps: Vec<TraceStep>,
}

/// Line of a trace after the first.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum TraceLine {
    /// Token counts of one layer.
    Tokens {
        /// Index of the step.
        step: usize,
        /// Index of the layer.
        layer: usize,
        /// One count for each expert.
        tokens: Vec<f64>,
    },
    /// Speeds of the ranks from a step on.
    Speed {
        /// Index of the step.
        step: usize,
        /// One factor for each rank.
        speed: Vec<f64>,
    },
}

/// Why a trace is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum TraceError {
    /// can't read {0}: {1}
    File(String, String),
    /// line {0}: {1}
    Line(usize, String),
}

impl TraceHeader {
    /// Returns the sizes of the group.
    pub const fn shape(&self) -> Shape {
        Shape {
            ranks: self.ranks,
            experts: self.experts,
            slots: self.slots,
            layers: self.layers,
            expert_bytes: self.expert_bytes,
        }
    }

    fn check(&self) -> Result<(), String> {
        let counts = [self.ranks, self.experts, self.slots, self.layers];
        if counts.contains(&0) || self.expert_bytes == 0 {
            return Err("expected sizes above 0".to_owned());
        }
        if self.step_ms.is_nan() || self.step_ms <= 0.0 {
            return Err("expected step_ms above 0".to_owned());
        }
        if self.slots > self.experts || self.experts > usize::from(u16::MAX) {
            return Err("expected slots <= experts <= 65535".to_owned());
        }
        if self.ranks * self.slots < self.experts {
            return Err("expected ranks * slots >= experts".to_owned());
        }
        Ok(())
    }
}

/// Reads a trace from a file.
///
/// # Errors
/// [`TraceError`] if the file can't be read, or with the number of the first invalid line.
pub fn read_trace(path: &Path) -> Result<Trace, TraceError> {
    let text = fs::read_to_string(path)
        .map_err(|err| TraceError::File(path.display().to_string(), err.to_string()))?;
    parse_trace(&text)
}

/// Parses a trace.
///
/// # Errors
/// [`TraceError::Line`] with the number of the first invalid line.
pub fn parse_trace(text: &str) -> Result<Trace, TraceError> {
    let mut lines = text.lines().enumerate().map(|(number, line)| (number + 1, line));
    let (_, first) =
        lines.next().ok_or_else(|| TraceError::Line(1, "the trace is empty".to_owned()))?;
    let header: TraceHeader =
        serde_json::from_str(first).map_err(|err| TraceError::Line(1, err.to_string()))?;
    header.check().map_err(|reason| TraceError::Line(1, reason))?;
    let mut trace = Trace { header, steps: Vec::new() };
    let mut last = 1;
    for (number, line) in lines {
        let line = serde_json::from_str(line)
            .map_err(|_| TraceError::Line(number, "expected token counts or speeds".to_owned()))?;
        trace.apply(line).map_err(|reason| TraceError::Line(number, reason))?;
        last = number;
    }
    trace.check_complete().map_err(|reason| TraceError::Line(last, reason))?;
    Ok(trace)
}

impl Trace {
    fn apply(&mut self, line: TraceLine) -> Result<(), String> {
        match line {
            TraceLine::Tokens { step, layer, tokens } => {
                check_row(&tokens, self.header.experts, "tokens")?;
                let step = self.step(step)?;
                if layer != step.tokens.len() {
                    return Err(format!("expected layer {}, got {layer}", step.tokens.len()));
                }
                step.tokens.push(tokens);
            }
            TraceLine::Speed { step, speed } => {
                check_row(&speed, self.header.ranks, "speed")?;
                if speed.contains(&0.0) {
                    return Err("expected speeds above 0".to_owned());
                }
                self.step(step)?.speeds = Some(speed);
            }
        }
        Ok(())
    }

    fn step(&mut self, step: usize) -> Result<&mut TraceStep, String> {
        let layers = self.header.layers;
        let complete = self.steps.last().is_none_or(|last| last.tokens.len() == layers);
        if step == self.steps.len() && complete {
            self.steps.push(TraceStep::default());
        }
        let last = self.steps.len().checked_sub(1);
        if last != Some(step) {
            return Err(format!("step {step} is out of order"));
        }
        self.steps.last_mut().ok_or_else(|| "step is out of order".to_owned())
    }

    fn check_complete(&self) -> Result<(), String> {
        let layers = self.header.layers;
        if self.steps.is_empty() {
            return Err("the trace has no steps".to_owned());
        }
        let complete = self.steps.iter().all(|step| step.tokens.len() == layers);
        if complete { Ok(()) } else { Err("the last step is incomplete".to_owned()) }
    }

    /// Returns the trace as lines of JSON, which [`parse_trace`] reads.
    pub fn to_text(&self) -> String {
        let mut text = serde_json::to_string(&self.header).unwrap_or_default();
        for (index, step) in self.steps.iter().enumerate() {
            let speed = step
                .speeds
                .iter()
                .map(|speed| TraceLine::Speed { step: index, speed: speed.clone() });
            let tokens = step.tokens.iter().enumerate().map(|(layer, tokens)| TraceLine::Tokens {
                step: index,
                layer,
                tokens: tokens.clone(),
            });
            for line in speed.chain(tokens) {
                text.push('\n');
                text.push_str(&serde_json::to_string(&line).unwrap_or_default());
            }
        }
        text.push('\n');
        text
    }
}

fn check_row(row: &[f64], length: usize, name: &str) -> Result<(), String> {
    if row.len() != length {
        return Err(format!("expected {length} {name}, got {}", row.len()));
    }
    let valid = row.iter().all(|value| value.is_finite() && *value >= 0.0);
    if valid { Ok(()) } else { Err(format!("expected {name} of 0 or more")) }
}
