//! Admission rules: checks that a request must pass before any work is done for it.
//!
//! A rule is a plug-in that registers itself with [`inventory::submit!`]. The settings name the
//! rules in use. The built-in rules use the same trait and the same registration.

use std::time::Duration;

use crate::lists::Plan;
use crate::outcome::Refusal;

/// Request data that a rule can inspect.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The plan of the request's workspace.
    pub plan: &'a Plan,
    /// The model, adapter or service that the request addresses.
    pub target: Target<'a>,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens in the answer.
    pub answer_tokens: u64,
    /// The time limit set by the caller, if any.
    pub time_limit: Option<Duration>,
}

/// The kind and name of what a request addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target<'a> {
    /// The name of a model.
    Model(&'a str),
    /// The name of an adapter of a model.
    Adapter(&'a str),
    /// The name of a service without a model.
    Service(&'a str),
}

/// An admission check of a request against the plan of its workspace.
pub trait Rule: Sync {
    /// Checks the request.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the caller if the request breaks the rule.
    fn check(&self, context: &Context<'_>) -> Result<(), Refusal>;
}

/// A rule and the name under which it is registered.
pub struct Registration {
    /// The rule's name in the settings.
    pub name: &'static str,
    /// The implementation.
    pub rule: &'static dyn Rule,
}

inventory::collect!(Registration);

/// Returns the names of all registered rules, sorted.
#[must_use]
pub fn names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<Registration>()
        .map(|entry| entry.name)
        .collect();
    names.sort_unstable();
    names
}

/// Checks `context` against the rules in `names`, in that order; unregistered names are skipped.
///
/// # Errors
///
/// Returns the refusal of the first rule that fails.
pub fn check(names: &[String], context: &Context<'_>) -> Result<(), Refusal> {
    for name in names {
        let registered = inventory::iter::<Registration>().find(|entry| entry.name == name);
        if let Some(entry) = registered {
            entry.rule.check(context)?;
        }
    }
    Ok(())
}

/// Returns the time limit of a request: `requested` or the plan's default, capped at the plan's
/// maximum.
#[must_use]
pub fn time_limit(plan: &Plan, requested: Option<Duration>) -> Duration {
    requested
        .unwrap_or(Duration::from_millis(plan.time_limit_ms.get()))
        .min(Duration::from_millis(plan.longest_time_limit_ms.get()))
}

/// Requires that the plan lists the model, adapter or service.
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

/// Requires that the prompt is within the plan's `prompt_tokens`.
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

/// Requires that a time limit set by the caller is positive and at most the plan's
/// `longest_time_limit_ms`.
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
