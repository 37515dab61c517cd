//! A part of prompts that crashes the engines, and their replacement.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use review_standins::caller::Kind;
use review_standins::judge::now;
use review_standins::parts::{AFTER_EVENT, AFTER_HEAD, BEFORE_HEAD, CLOSED_FIRST, PREFIX};
use review_standins::plan::is_chosen;
use review_standins::rng::Rng;

use super::{Soak, Worker, ENDED};

/// Share of the requests to engines that have the part.
const SHARE: f64 = 0.2;

impl Soak {
    /// Lets clients send requests with a part that crashes engines for `time`.
    pub(super) fn poison(&self, rng: &mut Rng, time: Duration) {
        let moments = [("bare", BEFORE_HEAD), ("head", AFTER_HEAD), ("event", AFTER_EVENT), ("closed", CLOSED_FIRST)];
        let chosen: Vec<_> = moments.iter().filter(|(name, _)| is_chosen("SOAK_MOMENTS", name)).collect();
        let (name, digits) = rng.pick(&chosen);
        let part = format!("{PREFIX}{digits}{:04x}", rng.range(0, 0xffff));
        {
            let mut current = self.part.lock().unwrap();
            if current.is_some() {
                return;
            }
            *current = Some(part.clone());
        }
        self.line(&format!("part {part} crashes engines ({name}) for {time:?}"));
        thread::sleep(time);
        *self.part.lock().unwrap() = None;
    }

    /// Returns the part that the prompt of an attempt has.
    pub(super) fn draw_part(&self, kind: &Kind, id: &str, rng: &mut Rng) -> Option<String> {
        let part = self.part.lock().unwrap().clone()?;
        if kind.service != "writer" || !rng.chance(SHARE) {
            return None;
        }
        self.judge.lock().unwrap().parts.insert(id.to_owned(), part.clone());
        Some(part)
    }

    /// Starts workers in place of those that ended by themselves.
    pub(super) fn replace_crashed(&self) {
        let mut rng = Rng::new(self.numbers.load(Ordering::SeqCst));
        let mut due: BTreeMap<Instant, Worker> = BTreeMap::new();
        while !self.stopped.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
            let crashed = {
                let mut workers = self.workers.lock().unwrap();
                let ended = workers.iter_mut().position(|worker| matches!(worker.child.try_wait(), Ok(Some(_))));
                ended.map(|index| workers.remove(index))
            };
            if let Some(worker) = crashed {
                self.line(&format!("worker {} crashed", worker.name));
                worker.state.store(ENDED, Ordering::SeqCst);
                let at = now();
                self.judge.lock().unwrap().worker_troubles.entry(worker.name.clone()).or_default().push((at - 100, at));
                due.insert(Instant::now() + Duration::from_millis(rng.range(1_500, 4_000)), worker);
            }
            let Some(first) = due.first_entry().filter(|first| Instant::now() >= *first.key()) else { continue };
            let worker = first.remove();
            let port = if rng.chance(0.3) { worker.port } else { 0 };
            let name = rng.chance(0.2).then(|| worker.name.clone());
            self.start_worker(worker.service, worker.zone, port, rng.next() >> 20, name);
        }
    }
}
