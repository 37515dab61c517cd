//! What clients sent and got and what workers did, and which rules it breaks.

use std::collections::{BTreeMap, HashMap, HashSet};

/// Time of day in milliseconds.
pub type Millis = u64;

pub fn now() -> Millis {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}

/// How an attempt ended at its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    Status(u16),
    /// A success whose body is not the worker's.
    Wrong(u16, String),
    Broken(String),
    Left,
}

/// One attempt of a client, or one more send of it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub service: &'static str,
    pub repeatable: bool,
    pub max_attempts: usize,
    pub host: usize,
    pub kept: bool,
    pub sent: Millis,
    pub remaining: Millis,
    pub ended: Millis,
    pub end: End,
}

/// What a worker did with a request.
#[derive(Clone, Debug)]
pub struct Step {
    pub worker: String,
    pub what: String,
    pub at: Millis,
    pub id: String,
    pub remaining: Option<Millis>,
    /// The host that sent it, if it is known.
    pub host: Option<usize>,
    /// The port from which its connection was opened.
    pub port: u16,
}

#[derive(Default)]
pub struct Judge {
    /// Parts of prompts that crash engines, by the attempts that have them.
    pub parts: HashMap<String, String>,
    /// Hosts by the port from which they opened a connection.
    pub ports: HashMap<u16, usize>,
    /// Times in which a link between a host and a worker was cut.
    pub link_troubles: HashMap<(usize, String), Vec<(Millis, Millis)>>,
    pub attempts: Vec<Attempt>,
    pub steps: Vec<Step>,
    /// Times in which a worker was stopped or ended.
    pub worker_troubles: HashMap<String, Vec<(Millis, Millis)>>,
    /// Times in which a host was stopped, killed or cut off.
    pub host_troubles: Vec<(usize, Millis, Millis)>,
}

/// The limits of the sheet that the rules use.
pub struct Bounds {
    pub ratio: f64,
    pub floor: f64,
    pub window: Millis,
    pub stability: Millis,
}

impl Judge {
    fn is_calm(&self, host: usize, from: Millis, to: Millis, margin: Millis) -> bool {
        !self.host_troubles.iter().any(|(known, begin, end)| *known == host && *begin <= to && end + margin >= from)
    }

    /// Returns the broken rules, by name, and figures for the record.
    pub fn verdict(&self, bounds: &Bounds) -> (BTreeMap<&'static str, Vec<String>>, Vec<String>) {
        let mut broken: BTreeMap<&'static str, Vec<String>> = BTreeMap::new();
        let mut steps: HashMap<&str, Vec<&Step>> = HashMap::new();
        for step in &self.steps {
            steps.entry(&step.id).or_default().push(step);
        }
        let known: HashSet<&str> = self.attempts.iter().map(|attempt| attempt.id.as_str()).collect();
        for step in self.steps.iter().filter(|step| step.what == "runs" && !known.contains(step.id.as_str())) {
            broken.entry("UNASKED").or_default().push(format!("{} ran {}", step.worker, step.id));
        }
        let (mut long, mut passed) = (Vec::new(), 0);
        let mut over = Vec::new();
        let mut ends: BTreeMap<String, usize> = BTreeMap::new();
        let mut sends: HashMap<&str, Vec<&Attempt>> = HashMap::new();
        for attempt in &self.attempts {
            sends.entry(&attempt.id).or_default().push(attempt);
            *ends.entry(format!("{} {}", attempt.service, name(&attempt.end))).or_default() += 1;
        }
        // All sends with one identifier are one attempt.
        for attempt in &self.attempts {
            let sends = &sends[attempt.id.as_str()];
            let last = sends[sends.len() - 1];
            if !std::ptr::eq(sends[0], attempt) {
                continue;
            }
            let mine: &[&Step] = steps.get(attempt.id.as_str()).map_or(&[], Vec::as_slice);
            let runs: Vec<_> = mine.iter().filter(|step| step.what == "runs").collect();
            let text = || format!("{sends:?}: {mine:?}");
            if !attempt.repeatable && runs.len() > 1 {
                broken.entry("TWICE").or_default().push(text());
            }
            if !attempt.repeatable && !runs.is_empty() && matches!(last.end, End::Status(408 | 421 | 429 | 503)) {
                broken.entry("REFUSED").or_default().push(text());
            }
            if sends.iter().any(|send| matches!(send.end, End::Wrong(..))) {
                broken.entry("MIXED").or_default().push(text());
            }
            let mut refused = HashSet::new();
            let again = mine.iter().any(|step| match step.what.as_str() {
                "rejects" => {
                    refused.insert((&step.worker, step.port));
                    false
                }
                "arrives" => refused.contains(&(&step.worker, step.port)),
                _ => false,
            });
            if again {
                broken.entry("same connection (information)").or_default().push(text());
            }
            let counted: HashSet<_> = runs.iter().filter(|run| !self.troubled(run, last.ended)).map(|run| &run.worker).collect();
            if counted.len() > attempt.max_attempts {
                over.push(text());
            }
            if !sends.iter().all(|send| self.is_calm(send.host, attempt.sent, last.ended, bounds.stability)) {
                continue;
            }
            let until = attempt.sent + attempt.remaining;
            let first = mine.iter().find(|step| step.what == "arrives");
            for step in mine.iter().filter(|step| step.what == "arrives") {
                let given = step.remaining.unwrap_or(Millis::MAX / 2);
                let first_until = first.map_or(until, |first| first.at + first.remaining.unwrap_or(0));
                passed += 1;
                let is_late = first.is_some_and(|first| step.at > first.at + 500);
                let later = is_late && step.at + given > until.max(first_until) + 500;
                if given > attempt.remaining + 500 || later {
                    long.push(text());
                }
            }
            if matches!(last.end, End::Broken(_)) && last.kept && !runs.is_empty() && !runs.iter().any(|run| self.troubled(run, last.ended)) {
                broken.entry("lost (information)").or_default().push(text());
            }
        }
        let mut figures = vec![format!("{} over their attempts, {} of {passed} handed too much time", over.len(), long.len())];
        // A few are allowed, and are recorded all the same.
        let (many, often) = (over.len() > 3, long.len() > 20 && long.len() * 5 > passed);
        for (cases, rule, allowed, is_broken) in [
            (over, "BUDGET attempts", "attempts (information)", many),
            (long, "BUDGET time", "time (information)", often),
        ] {
            if !cases.is_empty() {
                broken.insert(if is_broken { rule } else { allowed }, cases);
            }
        }
        let (late, parts) = crate::parts::verdict(self, bounds.stability);
        figures.extend(parts);
        if !late.is_empty() {
            broken.insert("BUDGET parts", late);
        }
        figures.extend(ends.iter().map(|(end, count)| format!("{count} x {end}")));
        for service in ["desk", "writer"] {
            let (most, allowed, at) = self.repeats(service, bounds);
            figures.push(format!("{service}: most repeats in a window {most} of {allowed:.0} at {at}"));
            if most as f64 > allowed {
                broken.entry("BUDGET repeats").or_default().push(format!("{service}: {most} of {allowed:.0} at {at}"));
            }
        }
        (broken, figures)
    }

    /// Whether the worker of `run` ended or was cut off between its run and `ended`.
    fn troubled(&self, run: &Step, ended: Millis) -> bool {
        let link = run.host.and_then(|host| self.link_troubles.get(&(host, run.worker.clone())));
        let troubles = self.worker_troubles.get(&run.worker).into_iter().chain(link);
        let mut spans = troubles.flatten();
        spans.any(|(from, to)| *from <= ended.max(run.at) && *to >= run.at)
    }

    /// The window with the most repeats beyond what is allowed, as repeats, allowed ones and its end.
    fn repeats(&self, service: &str, bounds: &Bounds) -> (usize, f64, Millis) {
        let services: HashMap<&str, &str> = self.attempts.iter().map(|attempt| (attempt.id.as_str(), attempt.service)).collect();
        let mut requests: Vec<Millis> = self.attempts.iter().filter(|attempt| attempt.service == service).map(|attempt| attempt.sent).collect();
        requests.sort_unstable();
        // What a client sends once more is no repeat of a host.
        let mut sent: HashMap<&str, Vec<Millis>> = HashMap::new();
        for attempt in &self.attempts {
            sent.entry(&attempt.id).or_default().push(attempt.sent);
        }
        let send = |step: &Step| sent.get(step.id.as_str()).map_or(0, |sent| sent.iter().filter(|sent| **sent <= step.at).count());
        let mut seen = HashSet::new();
        let mut arrivals: Vec<_> = self.steps.iter().filter(|step| step.what == "arrives").collect();
        arrivals.sort_by_key(|step| step.at);
        let mut repeats = Vec::new();
        for step in arrivals {
            if services.get(step.id.as_str()) == Some(&service) && !seen.insert((&step.id, send(step))) {
                repeats.push(step.at);
            }
        }
        let count = |times: &[Millis], from: Millis, to: Millis| times.partition_point(|at| *at <= to) - times.partition_point(|at| *at <= from);
        let window = bounds.window;
        let mut worst = (0, bounds.floor, 0);
        for at in &repeats {
            let found = count(&repeats, at.saturating_sub(window), *at);
            let asked = [0, window / 2, window].iter().map(|back| count(&requests, at.saturating_sub(window + back), at - back)).max().unwrap_or(0);
            let allowed = asked as f64 * bounds.ratio + bounds.floor;
            if found as f64 / allowed > worst.0 as f64 / worst.1 {
                worst = (found, allowed, *at);
            }
        }
        worst
    }
}

fn name(end: &End) -> String {
    match end {
        End::Status(status) => status.to_string(),
        End::Wrong(status, _) => format!("wrong {status}"),
        End::Broken(_) => "broken".to_owned(),
        End::Left => "left".to_owned(),
    }
}
