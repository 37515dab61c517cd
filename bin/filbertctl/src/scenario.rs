//! Seeded arrivals of prompts of very unlike lengths.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fleet::Plan;

/// Prompts up to this many tokens count as short.
pub const MAX_SHORT_TOKENS: u64 = 2_000;

/// One request of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time from the start of the run.
    pub at: Duration,
    /// Number of the workspace.
    pub workspace: usize,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Makes the prompt's text differ from others.
    pub text_seed: u64,
    /// Most tokens to answer.
    pub answer_tokens: u64,
}

/// A scenario of the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Short questions at dawn beside survey archives; short requests weigh most.
    Charnwood,
    /// Planners' questions and long contracts; all lengths weigh alike.
    Lijmnet,
}

/// Shares of the lengths: shortest and longest prompt of each class in tokens, and its weight.
const LENGTH_CLASSES: [(u64, u64, f64); 5] = [
    (500, 2_000, 0.60),
    (2_000, 8_000, 0.20),
    (8_000, 32_000, 0.12),
    (32_000, 100_000, 0.06),
    (100_000, 1_000_000, 0.02),
];

impl Scenario {
    /// The scenario called `name`.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "charnwood" => Some(Self::Charnwood),
            "lijmnet" => Some(Self::Lijmnet),
            _ => None,
        }
    }

    /// The scenario's name.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Charnwood => "charnwood",
            Self::Lijmnet => "lijmnet",
        }
    }

    /// The fleet that the scenario runs on.
    #[must_use]
    pub fn plan(self, scale: u32) -> Plan {
        let mut plan = match self {
            Self::Charnwood => Plan::new(
                &[
                    ("charnwood", 2, 9, 1),
                    ("cannock", 2, 8, 1),
                    ("sherwood", 1, 8, 1),
                ],
                scale,
            ),
            Self::Lijmnet => Plan::new(
                &[
                    ("nl-west-a", 2, 7, 1),
                    ("nl-west-b", 2, 7, 1),
                    ("nl-west-c", 1, 6, 1),
                ],
                scale,
            ),
        };
        plan.workspaces = 10;
        plan.short_weight = match self {
            Self::Charnwood => 1.0,
            Self::Lijmnet => 0.0,
        };
        plan
    }

    /// Arrivals for `time`, at `load` of the capacity of `plan`'s engines.
    ///
    /// The same seed gives the same arrivals.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn arrivals(self, plan: &Plan, seed: u64, duration: Duration, load: f64) -> Vec<Arrival> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let engines: usize = plan.domains.iter().map(|domain| domain.engines).sum();
        let capacity = plan.engine_setting("any").prefill_rate() * engines as f64;
        let rate = capacity * load / mean_prompt_tokens();
        let mut at = 0.0;
        let mut arrivals = Vec::new();
        loop {
            at += -rng.random_range(f64::EPSILON..1.0_f64).ln() / rate;
            if at >= duration.as_secs_f64() {
                return arrivals;
            }
            arrivals.push(Arrival {
                at: Duration::from_secs_f64(at),
                workspace: sample_workspace(&mut rng, plan.workspaces),
                prompt_tokens: sample_length(&mut rng),
                text_seed: rng.random(),
                answer_tokens: rng.random_range(16..=64),
            });
        }
    }
}

/// A few workspaces are large: each has half the chance of the one before, down to the last.
fn sample_workspace(rng: &mut SmallRng, count: usize) -> usize {
    let mut index = 0;
    while index + 1 < count && rng.random_bool(0.6) {
        index += 1;
    }
    index
}

/// A length drawn log-uniformly from a class.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
fn sample_length(rng: &mut SmallRng) -> u64 {
    let mut choice: f64 = rng.random();
    for (shortest, longest, weight) in LENGTH_CLASSES {
        if choice < weight {
            let exponent = rng.random_range((shortest as f64).ln()..(longest as f64).ln());
            return exponent.exp() as u64;
        }
        choice -= weight;
    }
    LENGTH_CLASSES[0].0
}

/// Mean length of the prompts, in tokens.
#[allow(clippy::cast_precision_loss)]
fn mean_prompt_tokens() -> f64 {
    let mean = |shortest: u64, longest: u64| {
        let (shortest, longest) = (shortest as f64, longest as f64);
        (longest - shortest) / (longest / shortest).ln()
    };
    LENGTH_CLASSES
        .iter()
        .map(|(shortest, longest, weight)| weight * mean(*shortest, *longest))
        .sum()
}

/// A prompt of `tokens` tokens that differs from those with other seeds from its start on.
#[must_use]
pub fn prompt(tokens: u64, seed: u64) -> String {
    const LINE: &str = "the survey of the forest loops says that the piste was groomed at night; ";
    let bytes = usize::try_from(tokens)
        .unwrap_or(usize::MAX)
        .saturating_mul(kernel::cost::BYTES_PER_TOKEN);
    let mut text = format!("[{seed:016x}] ");
    text.reserve(bytes);
    while text.len() < bytes {
        text.push_str(LINE);
    }
    text.truncate(bytes);
    text
}
