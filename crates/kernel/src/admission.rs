//! Rules that a request must pass before anything is done for it.
//!
//! A rule is a plug-in. It registers itself with [`inventory::submit!`]; the settings name the
//! rules that are used, and the built-in ones use the same trait.

use std::time::Duration;

use crate::lists::Plan;
use crate::outcome::Refusal;

/// What a rule may know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The plan of the request's workspace.
    pub plan: &'a Plan,
    /// What the request asks for.
    pub target: Target<'a>,
    /// Estimated prompt tokens.
    pub prompt_tokens: u64,
    /// Most tokens to answer.
    pub answer_tokens: u64,
    /// The time limit that the caller named, if any.
    pub time_limit: Option<Duration>,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target<'a> {
    /// A model.
    Model(&'a str),
    /// An adapter of a model.
    Adapter(&'a str),
    /// A plain service.
    Service(&'a str),
}

/// Checks a request against its plan.
pub trait Rule: Sync {
    /// Refuses the request, or lets it pass.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets.
    fn check(&self, context: &Context<'_>) -> Result<(), Refusal>;
}

/// A registered rule.
pub struct Registration {
    /// The name that the settings use.
    pub name: &'static str,
    /// The rule.
    pub rule: &'static dyn Rule,
}

inventory::collect!(Registration);

/// The names of all registered rules, sorted.
#[must_use]
pub fn names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<Registration>()
        .map(|entry| entry.name)
        .collect();
    names.sort_unstable();
    names
}

/// Checks `context` against the rules called `names`, in that order.
///
/// # Errors
///
/// The refusal of the first rule that does not pass.
pub fn check(names: &[String], context: &Context<'_>) -> Result<(), Refusal> {
    for name in names {
        let registered = inventory::iter::<Registration>().find(|entry| entry.name == name);
        if let Some(entry) = registered {
            entry.rule.check(context)?;
        }
    }
    Ok(())
}

/// The time limit of a request under `plan`.
#[must_use]
pub fn time_limit(plan: &Plan, requested: Option<Duration>) -> Duration {
    requested
        .unwrap_or(Duration::from_millis(plan.time_limit_ms.get()))
        .min(Duration::from_millis(plan.longest_time_limit_ms.get()))
}

/// The plan must name the model, adapter or service.
struct Allowlist;

impl Rule for Allowlist {
    fn check(&self, context: &Context<'_>) -> Result<(), Refusal> {
        let (kind, name, allowed) = match context.target {
            Target::Model(name) => ("model", name, &context.plan.models),
            Target::Adapter(name) => ("adapter", name, &context.plan.adapters),
            Target::Service(name) => ("service", name, &context.plan.services),
        };
        if allowed.iter().any(|known| known == name) {
            return Ok(());
        }
        let what = format!("the plan does not include {kind} {name:?}");
        let remedy = format!("use one of {allowed:?} or ask the operators to publish it");
        Err(Refusal::Forbidden(what, remedy))
    }
}

/// The prompt must not be longer than the plan allows.
struct PromptSize;

impl Rule for PromptSize {
    fn check(&self, context: &Context<'_>) -> Result<(), Refusal> {
        if context.prompt_tokens <= context.plan.prompt_tokens.get() {
            return Ok(());
        }
        let what = format!(
            "the prompt has about {} tokens and the plan allows {}",
            context.prompt_tokens, context.plan.prompt_tokens
        );
        Err(Refusal::Forbidden(what, "shorten the prompt".to_owned()))
    }
}

/// A named time limit must be positive and within the plan's longest.
struct TimeLimit;

impl Rule for TimeLimit {
    fn check(&self, context: &Context<'_>) -> Result<(), Refusal> {
        let longest = Duration::from_millis(context.plan.longest_time_limit_ms.get());
        match context.time_limit {
            Some(limit) if limit.is_zero() || limit > longest => {
                let what = format!("the time limit of {} ms is not allowed", limit.as_millis());
                let remedy = format!(
                    "send 1 to {} ms in x-request-timeout-ms",
                    longest.as_millis()
                );
                Err(Refusal::Invalid(what, remedy))
            }
            _ => Ok(()),
        }
    }
}

inventory::submit! {
    Registration { name: "allowed", rule: &Allowlist }
}
inventory::submit! {
    Registration { name: "prompt_size", rule: &PromptSize }
}
inventory::submit! {
    Registration { name: "time_limit", rule: &TimeLimit }
}
