//! What happens to hosts, workers, links and the store.

use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use review_standins::judge::now;
use review_standins::node::{SIGCONT, SIGHUP, SIGSTOP, SIGTERM};
use review_standins::rng::Rng;
use review_standins::{proxy, store};

use super::{Soak, Worker, DRAINING, ENDED};

impl Soak {
    /// Makes trouble of these kinds until `until`.
    pub(super) fn make_trouble(&self, kinds: &str, rng: &mut Rng, until: Instant) {
        let kinds: Vec<_> = kinds.split(',').collect();
        thread::sleep(Duration::from_secs(2));
        thread::scope(|scope| {
            while Instant::now() + Duration::from_secs(3) < until {
                let kind = *rng.pick(&kinds);
                let mut own = Rng::new(rng.next());
                scope.spawn(move || self.trouble(kind, &mut own));
                thread::sleep(Duration::from_millis(rng.range(150, 1_500)));
            }
        });
    }

    fn trouble(&self, kind: &str, rng: &mut Rng) {
        let time = Duration::from_millis(rng.range(300, 4_000));
        let host = rng.range(0, self.hosts.len() as u64 - 1) as usize;
        match kind {
            "worker" => {
                let (fault, most) = *rng.pick(&self.faults);
                let service = *rng.pick(&["desk", "writer"]);
                let one = rng.chance(0.5).then(|| rng.range(0, 3) as usize);
                let names: Vec<_> = self.workers.lock().unwrap().iter().filter(|worker| worker.service == service).map(|worker| worker.name.clone()).collect();
                let count = names.len();
                let names: Vec<_> = names.into_iter().enumerate().filter(|(index, _)| one.is_none_or(|one| *index == one % count)).map(|(_, name)| name).collect();
                self.line(&format!("fault {fault} at {names:?} for {time:?}"));
                for share in [most, 0.0] {
                    for worker in self.workers.lock().unwrap().iter_mut().filter(|worker| names.contains(&worker.name)) {
                        let _ = worker.input.write_all(format!("fault {fault} {share}\n").as_bytes());
                    }
                    if share > 0.0 {
                        thread::sleep(time);
                    }
                }
            }
            "kill" | "drain" => {
                let Some(mut worker) = self.take_worker(rng) else { return };
                self.line(&format!("{kind} worker {}", worker.name));
                if kind == "drain" {
                    worker.state.store(DRAINING, Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(2_800));
                }
                let _ = worker.child.kill();
                let at = now();
                worker.state.store(ENDED, Ordering::SeqCst);
                self.judge.lock().unwrap().worker_troubles.entry(worker.name.clone()).or_default().push((at, at));
                let _ = worker.child.wait();
                thread::sleep(time);
                // Addresses are used again, also by the other service.
                let service = if rng.chance(0.15) { *rng.pick(&["desk", "writer"]) } else { worker.service };
                let port = if rng.chance(0.5) { worker.port } else { 0 };
                let name = (service == worker.service && rng.chance(0.2)).then(|| worker.name.clone());
                self.start_worker(service, worker.zone, port, rng.next() >> 20, name);
            }
            "poison" => self.poison(rng, time * 2 + Duration::from_secs(8)),
            "stop" => {
                let (name, pid) = {
                    let workers = self.workers.lock().unwrap();
                    let worker = rng.pick(&workers);
                    (worker.name.clone(), worker.child.id())
                };
                let from = now();
                self.line(&format!("stop worker {name} for {time:?}"));
                signal(pid, SIGSTOP);
                thread::sleep(time);
                signal(pid, SIGCONT);
                self.judge.lock().unwrap().worker_troubles.entry(name).or_default().push((from, now()));
            }
            "host" | "freeze" | "term" => {
                let from = now();
                self.line(&format!("{kind} edge-{host} for {time:?}"));
                let pid = self.hosts[host].lock().unwrap().pid() as u32;
                match kind {
                    "freeze" => {
                        signal(pid, SIGSTOP);
                        thread::sleep(time);
                        signal(pid, SIGCONT);
                    }
                    _ => {
                        if kind == "term" {
                            signal(pid, SIGTERM);
                            let end = Instant::now() + Duration::from_secs(8);
                            while Instant::now() < end && self.hosts[host].lock().unwrap().ended().is_none() {
                                thread::sleep(Duration::from_millis(50));
                            }
                        }
                        self.hosts[host].lock().unwrap().kill();
                        thread::sleep(time / 4);
                        self.hosts[host].lock().unwrap().start();
                    }
                }
                self.judge.lock().unwrap().host_troubles.push((host, from, now()));
                if rng.chance(0.1) {
                    self.hosts[host].lock().unwrap().signal(SIGHUP);
                }
            }
            "link" => {
                let state = *rng.pick(&[proxy::CUT, proxy::CUT, proxy::DEAF, proxy::RESET]);
                let share = *rng.pick(&[1.0, 1.0, 0.5]);
                let links = self.links.lock().unwrap().clone();
                let chosen: Vec<_> = links.iter().filter(|((of, _), _)| *of == host && rng.chance(share)).collect();
                let time = if state == proxy::RESET { Duration::from_millis(30) } else { time * 2 };
                self.line(&format!("links of edge-{host} to {} workers: state {state} for {time:?}", chosen.len()));
                let from = now();
                chosen.iter().for_each(|(_, link)| link.set(state));
                thread::sleep(time);
                // Bytes that a cut held up are lost if the connection is reset after it.
                if state == proxy::CUT && rng.chance(0.5) {
                    chosen.iter().for_each(|(_, link)| link.set(proxy::RESET));
                    thread::sleep(Duration::from_millis(30));
                }
                let current = self.links.lock().unwrap();
                for (key, link) in &chosen {
                    if current.get(*key).is_some_and(|known| known.address == link.address) {
                        link.set(proxy::OPEN);
                    }
                }
                drop(current);
                let mut judge = self.judge.lock().unwrap();
                judge.host_troubles.push((host, from, now()));
                if state != proxy::RESET {
                    for (key, _) in chosen {
                        judge.link_troubles.entry(key.clone()).or_default().push((from, now()));
                    }
                }
            }
            "peers" | "detour" => {
                let state = *rng.pick(&[proxy::CUT, proxy::DEAF, proxy::RESET]);
                let both = rng.chance(0.5);
                self.line(&format!("{kind} edge-{host}: state {state} for {time:?}"));
                let from = now();
                let detours = kind == "detour";
                if detours {
                    self.set_links(host, proxy::CUT);
                    // The host has found out, and asks others.
                    thread::sleep(Duration::from_millis(rng.range(1_000, 3_000)));
                }
                let peers = self.peers.get().expect("the links are open");
                peers.set(host, both, state);
                thread::sleep(time);
                peers.set(host, both, proxy::OPEN);
                if detours {
                    thread::sleep(time / 2);
                    self.set_links(host, proxy::OPEN);
                }
                let mut judge = self.judge.lock().unwrap();
                judge.host_troubles.push((host, from, now()));
                if detours {
                    let links = self.links.lock().unwrap();
                    for key in links.keys().filter(|(of, _)| *of == host) {
                        judge.link_troubles.entry(key.clone()).or_default().push((from, now()));
                    }
                }
            }
            _ => {
                let state = *rng.pick(&[store::REFUSES, store::MUTE, store::SLOW]);
                let all = rng.chance(0.3);
                self.line(&format!("store state {state} for {}", if all { "all".to_owned() } else { format!("edge-{host}") }));
                let views = self.views.iter().enumerate().filter(|(index, _)| all || *index == host);
                views.clone().for_each(|(_, view)| view.set(state));
                thread::sleep(time);
                views.for_each(|(_, view)| view.set(store::UP));
            }
        }
    }

    /// Sets the state of all links between a host and workers.
    fn set_links(&self, host: usize, state: u8) {
        let links = self.links.lock().unwrap();
        links.iter().filter(|((of, _), _)| *of == host).for_each(|(_, link)| link.set(state));
    }

    /// Takes a worker of a service that has others left.
    fn take_worker(&self, rng: &mut Rng) -> Option<Worker> {
        let mut workers = self.workers.lock().unwrap();
        if workers.is_empty() {
            return None;
        }
        let index = rng.range(0, workers.len() as u64 - 1) as usize;
        let service = workers[index].service;
        let left = workers.iter().filter(|worker| worker.service == service).count();
        (left > 1).then(|| workers.remove(index))
    }
}

fn signal(pid: u32, number: i32) {
    extern "C" {
        fn kill(pid: i32, signal: i32) -> i32;
    }
    if pid > 0 {
        // SAFETY: a plain system call; the process is a child of this one.
        unsafe { kill(pid as i32, number) };
    }
}
