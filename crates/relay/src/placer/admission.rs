//! Sets the order of the waiting streams, and reports which are refused.

use kernel::catalogue::Configuration;
use kernel::name::Service;
use kernel::place::Pool;
use kernel::place::policy::Policy;

use super::Placer;
use crate::observe;
use crate::settings::Admission;

impl Placer {
    /// Sets the order of the waiting streams of all services by a configuration and the settings.
    pub fn set_policies(&self, configuration: &Configuration, admission: &Admission) {
        let choice = admission.choice().unwrap_or_default();
        for (service, queue) in self.queues.lock().iter_mut() {
            let policy = Policy::new(choice, admission.weights(), configuration, service);
            if policy == queue.policy {
                continue;
            }
            queue.pool.set_policy(&policy);
            log::info!(
                "event=admission service={service} policy={} priorities={:?}",
                if policy.weights.is_some() {
                    "value"
                } else {
                    "order"
                },
                policy.priorities
            );
            queue.policy = policy;
        }
    }

    /// Returns the rank that a request with this priority states at an engine, if any.
    #[must_use]
    pub fn urgency(&self, service: &Service, priority: u32) -> Option<u8> {
        self.queues.lock().get(service)?.policy.urgency(priority)
    }
}

/// Logs and counts the streams that a pool has refused by value, and the clients that came back.
pub(super) fn report(pool: &mut Pool) {
    for report in pool.take_reports() {
        observe::count_not_admitted(report.priority, report.reason.as_str());
        log::info!(
            "event=not_admitted ticket={} priority={} prompt={} reason={} worth={:.3} per_ms={:.6} against_per_ms={} work_ms={:.0} in_time={} predicted_ms={} retry_after_ms={}",
            report.ticket,
            report.priority,
            report.prompt_tokens,
            report.reason.as_str(),
            report.value.worth(),
            report.value.density,
            report
                .against
                .map_or_else(|| "-".to_owned(), |least| format!("{least:.6}")),
            report.value.work_ms,
            report.value.in_time,
            report.predicted.as_millis(),
            report.retry_after.as_millis()
        );
    }
    let returns = pool.take_returns();
    if returns.returned > 0 {
        observe::count_returned("served", returns.served);
        observe::count_returned("refused", returns.returned - returns.served);
    }
}
