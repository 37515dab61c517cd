//! Generates seeded arrivals of prompts whose lengths span several orders of magnitude.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fleet::Plan;

/// Maximum length of a short prompt, in tokens.
pub const MAX_SHORT_TOKENS: u64 = 2_000;

/// One request of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Arrival time, measured from the start of the run.
    pub at: Duration,
    /// Index of the workspace.
    pub workspace: usize,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Seed of the prompt's text; distinct seeds give distinct texts.
    pub text_seed: u64,
    /// Maximum length of the answer, in tokens.
    pub answer_tokens: u64,
}

/// A load scenario: a fleet layout and the weight of short requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Short questions mixed with long survey archives; short requests have the highest weight.
    Charnwood,
    /// Short questions mixed with long contracts; all lengths have equal weight.
    Lijmnet,
}

/// Length classes: shortest and longest prompt in tokens, and the fraction of all prompts.
const LENGTH_CLASSES: [(u64, u64, f64); 5] = [
    (500, 2_000, 0.60),
    (2_000, 8_000, 0.20),
    (8_000, 32_000, 0.12),
    (32_000, 100_000, 0.06),
    (100_000, 1_000_000, 0.02),
];

impl Scenario {
    /// Returns the scenario with this name, or `None` if there is none.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "charnwood" => Some(Self::Charnwood),
            "lijmnet" => Some(Self::Lijmnet),
            _ => None,
        }
    }

    /// The name on the command line and in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Charnwood => "charnwood",
            Self::Lijmnet => "lijmnet",
        }
    }

    /// The plan of the scenario's fleet, with engines `scale` times faster than real ones.
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

    /// Generates Poisson arrivals for `duration`; `load` is the fraction of the engines' prefill
    /// capacity that they use.
    ///
    /// The same seed gives the same arrivals.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn arrivals(self, plan: &Plan, seed: u64, duration: Duration, load: f64) -> Vec<Arrival> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let engines: usize = plan.domains.iter().map(|domain| domain.engines).sum();
        let capacity = plan.engine_config("any").prefill_rate() * engines as f64;
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

/// Draws a workspace index below `count`, so that a few workspaces send most requests.
///
/// Each workspace has 0.6 times the probability of the one before; the last takes the remainder.
fn sample_workspace(rng: &mut SmallRng, count: usize) -> usize {
    let mut index = 0;
    while index + 1 < count && rng.random_bool(0.6) {
        index += 1;
    }
    index
}

/// Draws a class by weight and a length in tokens log-uniformly from it.
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

/// Expected length of a prompt, in tokens.
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

/// Generates a prompt of `tokens` tokens.
///
/// The text starts with the seed, so prompts with different seeds share no cached prefix.
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
