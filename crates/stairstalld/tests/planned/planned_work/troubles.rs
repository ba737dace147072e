//! Draws what goes wrong on real machines beside planned work, and carries it out.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stairstall_platform_standin::{StandinStore, StandinWorkers};
use stairstall_standin::LinkMode;
use tokio::sync::OwnedMutexGuard;
use tokio::task::JoinSet;

use super::calm::{Calm, Disturbance};
use super::{DRAIN_DELAY_MS, Shared, Site, lock, start_daemon};
use crate::cluster::Daemon;

/// How long troubles come, and how long calm follows; both repeat.
const TROUBLED: Duration = Duration::from_secs(8);
const QUIET: Duration = Duration::from_secs(10);
/// Shortest and longest stall, in milliseconds.
const STALL_MS: std::ops::Range<u64> = 200..8_000;
/// Stalls that are the most frequent, in milliseconds.
const SHORT_STALL_MS: std::ops::Range<u64> = 200..1_800;

/// How often it is looked whether a strong VM is left after the others have ended.
const STRONG_VMS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a worker that has left is away until the next comes.
const LEFT_FOR: Duration = Duration::from_millis(800);

/// What goes wrong in a play.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// Planned work alone.
    Planned,
    /// Planned work on VMs that give each daemon little processor time.
    SmallVms,
    /// Daemons stall too.
    Stalls,
    /// Planned work while all strong VMs end at once and stay away.
    StrongVmsGone,
    /// Daemons stall and are killed; the store, links and workers fail.
    Failures,
}

impl Kind {
    pub(super) const fn has_stalls(self) -> bool {
        matches!(self, Self::Stalls | Self::Failures)
    }

    /// Whether links to workers fail.
    pub(super) const fn has_worker_links(self) -> bool {
        matches!(self, Self::Failures)
    }
}

/// One trouble, by how many milliseconds it lasts.
#[derive(Debug, Clone)]
enum Trouble {
    Stall(Vec<usize>, u64),
    Kill(Vec<usize>, u64),
    StoreDown(u64),
    StoreLosesAnswers(u64),
    HistoryGone,
    StoreLinks(Vec<usize>, LinkMode, u64),
    WorkerLinks(Vec<usize>, LinkMode, u64),
    WorkerCrashes(Vec<usize>, u64),
    /// Workers that leave on short notice.
    WorkersLeave(Vec<usize>, u64),
    /// Workers that fail all that ends there.
    WorkersFail(Vec<usize>, u64),
}

/// Returns the signals of a stall that ends about when the drain delay of a planned stop does.
pub(super) fn pause_until_drained(random: &mut Pcg64Mcg) -> [(u64, Signal); 2] {
    let ends_ms = random.random_range(DRAIN_DELAY_MS - 100..DRAIN_DELAY_MS + 300);
    let begins_ms = ends_ms - random.random_range(STALL_MS.start..DRAIN_DELAY_MS - 150);
    [(begins_ms, Signal::SIGSTOP), (ends_ms, Signal::SIGCONT)]
}

/// Returns who took the planner's role last; nobody if that one is being stopped.
pub(super) fn planner_of(daemons: &[Arc<tokio::sync::Mutex<Daemon>>]) -> Option<usize> {
    let taken = |index: usize| {
        let daemon = daemons[index].try_lock().ok()?;
        let last = daemon.log_lines("acquired the planner role").pop()?;
        Some((last, index))
    };
    let planner = (0..daemons.len()).filter_map(taken).max();
    planner.map(|(_, index)| index)
}

/// Who draws troubles and carries them out.
pub(super) struct Troubles {
    kind: Kind,
    store: Arc<StandinStore>,
    workers: Arc<StandinWorkers>,
    daemons: Vec<Arc<tokio::sync::Mutex<Daemon>>>,
    shared: Arc<Shared>,
    random: Pcg64Mcg,
    in_flight: JoinSet<()>,
}

impl Troubles {
    pub(super) fn new(site: &Site, seed: u64) -> Self {
        Self {
            kind: site.kind,
            store: Arc::clone(&site.store),
            workers: Arc::clone(&site.workers),
            daemons: site.daemons.clone(),
            shared: Arc::clone(&site.shared),
            random: Pcg64Mcg::seed_from_u64(!seed),
            in_flight: JoinSet::new(),
        }
    }

    /// Draws troubles in windows until a time, then waits for the last of them to end.
    pub(super) async fn run(mut self, until: Instant) {
        if self.kind == Kind::StrongVmsGone {
            self.end_strong_vms(until).await;
            return;
        }
        if !self.kind.has_stalls() {
            return;
        }
        while Instant::now() < until {
            let window = until.min(Instant::now() + TROUBLED);
            while Instant::now() < window {
                let pause = self.random.random_range(100..1_600);
                tokio::time::sleep(Duration::from_millis(pause)).await;
                let trouble = self.draw();
                self.strike(trouble);
            }
            let calm_until = until.min(Instant::now() + QUIET);
            tokio::time::sleep_until(calm_until.into()).await;
        }
        if self.shared.is_large {
            self.strike_all();
        }
        while let Some(ended) = self.in_flight.join_next().await {
            if let Err(error) = ended {
                self.shared.report(format!("a trouble: {error}"));
            }
        }
    }

    fn draw(&mut self) -> Trouble {
        let kinds = match (self.kind, self.shared.is_large) {
            (Kind::Stalls, _) => 5,
            (_, true) => 24,
            (_, false) => 16,
        };
        match self.random.random_range(0..kinds) {
            0 => Trouble::Stall(self.one_daemon(), self.stall_ms()),
            1 | 2 => Trouble::Stall(self.planner(), self.stall_ms()),
            3 => Trouble::Stall(self.some_daemons(2), self.stall_ms()),
            4 => {
                let mut stalled = self.some_daemons(4);
                stalled.extend(self.planner());
                Trouble::Stall(stalled, self.stall_ms())
            }
            5 => Trouble::Kill(self.one_daemon(), self.ms(100..2_000)),
            6 => Trouble::Kill(self.planner(), self.ms(100..2_000)),
            7 => Trouble::Kill(self.some_daemons(4), self.ms(100..2_000)),
            8 => Trouble::StoreDown(self.ms(200..3_000)),
            9 => Trouble::StoreLosesAnswers(self.ms(1..4)),
            10 => Trouble::HistoryGone,
            11 => Trouble::StoreLinks(self.some_daemons(3), self.link_mode(), self.ms(300..4_000)),
            12 => Trouble::StoreLinks(self.planner(), self.link_mode(), self.ms(300..4_000)),
            13 | 14 => {
                let workers = self.some_workers();
                Trouble::WorkerLinks(workers, self.link_mode(), self.ms(300..6_000))
            }
            15 => Trouble::WorkerCrashes(self.some_workers(), self.ms(300..4_000)),
            16 | 17 => {
                let slow = LinkMode::Delay(Duration::from_millis(self.ms(50..600)));
                Trouble::StoreLinks(self.all_daemons(), slow, self.ms(2_000..6_000))
            }
            18 => Trouble::StoreLinks(self.all_daemons(), LinkMode::Silent, self.ms(2_000..6_000)),
            19 | 20 => {
                let zone = self.zone_of_workers();
                Trouble::WorkerLinks(zone, self.link_mode(), self.ms(3_000..6_000))
            }
            21 => Trouble::WorkersLeave(self.some_workers(), self.ms(500..2_500)),
            22 => Trouble::WorkersFail(self.some_workers(), self.ms(3_000..6_500)),
            _ => Trouble::Kill(self.last_acceptor(), self.ms(500..3_000)),
        }
    }

    /// Kills the daemons of all strong VMs at once, after a third of the time that is left; those that
    /// are being stopped or started then, right after that. Small VMs take their places at the end.
    async fn end_strong_vms(&mut self, until: Instant) {
        let left = until.saturating_duration_since(Instant::now());
        tokio::time::sleep(left / 3).await;
        self.shared.strong_vms_gone.store(true, Ordering::SeqCst);
        let mut gone = Vec::new();
        while Instant::now() < until {
            for (index, mut daemon) in self.take(&self.strong_vms()) {
                let _disturbance = Calm::disturb(&self.shared.calm);
                let what = format!("kill of strong {index}, {}", daemon.address);
                self.shared.note(&what);
                daemon.kill().await;
                gone.push((index, daemon));
            }
            tokio::time::sleep(STRONG_VMS_CHECK_INTERVAL).await;
        }
        for (index, mut daemon) in gone {
            lock(&self.shared.ready).remove(&index);
            *daemon = start_daemon(self.kind, &self.store, &self.shared).await;
        }
    }

    /// Returns the daemons on strong VMs, except those that are being stopped.
    fn strong_vms(&self) -> Vec<usize> {
        let strong = lock(&self.shared.strong);
        let is_strong = |index: &usize| {
            let daemon = self.daemons[*index].try_lock();
            daemon.is_ok_and(|daemon| strong.contains(&daemon.address))
        };
        (0..self.daemons.len()).filter(is_strong).collect()
    }

    /// Kills all daemons at once; they are started again.
    fn strike_all(&mut self) {
        let away_ms = self.ms(100..1_000);
        self.strike(Trouble::Kill(self.all_daemons(), away_ms));
    }

    fn all_daemons(&self) -> Vec<usize> {
        (0..self.daemons.len()).collect()
    }

    fn zone_of_workers(&mut self) -> Vec<usize> {
        let zones = super::large::ZONES.len();
        let zone = self.random.random_range(0..zones);
        let count = self.workers.count();
        (zone * count / zones..(zone + 1) * count / zones).collect()
    }

    /// Returns who accepted a job last; nobody if that one is being stopped.
    fn last_acceptor(&self) -> Vec<usize> {
        let Some(address) = *lock(&self.shared.last_acceptor) else {
            return Vec::new();
        };
        let is_it = |index: &usize| {
            let daemon = self.daemons[*index].try_lock();
            daemon.is_ok_and(|daemon| daemon.address == address)
        };
        (0..self.daemons.len()).filter(is_it).collect()
    }

    fn ms(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.random.random_range(range)
    }

    fn stall_ms(&mut self) -> u64 {
        if self.random.random_range(0..2) == 0 {
            return self.ms(SHORT_STALL_MS);
        }
        self.ms(STALL_MS)
    }

    fn link_mode(&mut self) -> LinkMode {
        match self.random.random_range(0..5) {
            0 => LinkMode::Cut,
            1 => LinkMode::Silent,
            2 => LinkMode::LoseAnswers,
            _ => LinkMode::Delay(Duration::from_millis(self.ms(20..900))),
        }
    }

    fn one_daemon(&mut self) -> Vec<usize> {
        vec![self.random.random_range(0..self.daemons.len())]
    }

    /// Draws neighbours, at most one in so many.
    fn some_daemons(&mut self, one_in: usize) -> Vec<usize> {
        let count = self.daemons.len();
        let first = self.random.random_range(0..count);
        let some = self.random.random_range(1..=(count / one_in).max(1));
        (first..first + some).map(|index| index % count).collect()
    }

    fn some_workers(&mut self) -> Vec<usize> {
        let count = self.workers.count();
        let first = self.random.random_range(0..count);
        let some = self.random.random_range(1..=(count / 8).max(1));
        (first..first + some).map(|index| index % count).collect()
    }

    fn planner(&self) -> Vec<usize> {
        planner_of(&self.daemons).into_iter().collect()
    }

    fn strike(&mut self, trouble: Trouble) {
        let disturbance = Calm::disturb(&self.shared.calm);
        self.shared.note(&format!("{trouble:?}"));
        let store = Arc::clone(&self.store);
        let shared = Arc::clone(&self.shared);
        match trouble {
            Trouble::Stall(indices, ms) => {
                let daemons = self.take(&indices);
                self.in_flight.spawn(async move {
                    let ends = Instant::now() + Duration::from_millis(ms);
                    for (index, daemon) in &daemons {
                        shared.note(&format!("stall of {index}, {}", daemon.address));
                        daemon.signal(Signal::SIGSTOP);
                    }
                    tokio::time::sleep_until(ends.into()).await;
                    for (_, daemon) in &daemons {
                        daemon.signal(Signal::SIGCONT);
                    }
                    shared.note(&format!("stall of {indices:?} ends"));
                    drop(disturbance);
                });
            }
            Trouble::Kill(indices, away_ms) => {
                for (index, mut daemon) in self.take(&indices) {
                    let store = Arc::clone(&store);
                    let kind = self.kind;
                    let shared = Arc::clone(&shared);
                    let disturbance = Calm::disturb(&shared.calm);
                    self.in_flight.spawn(async move {
                        shared.note(&format!("kill of {index}, {}", daemon.address));
                        daemon.kill().await;
                        tokio::time::sleep(Duration::from_millis(away_ms)).await;
                        lock(&shared.ready).remove(&index);
                        *daemon = start_daemon(kind, &store, &shared).await;
                        drop(disturbance);
                    });
                }
            }
            Trouble::StoreDown(ms) => {
                self.in_flight.spawn(async move {
                    store.set_down(true);
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    store.set_down(false);
                    shared.note("the store is up");
                    drop(disturbance);
                });
            }
            Trouble::StoreLosesAnswers(count) => store.lose_answers(count),
            Trouble::HistoryGone => store.forget_history(),
            Trouble::StoreLinks(indices, mode, ms) => {
                let daemons = self.take(&indices);
                self.in_flight.spawn(async move {
                    for (index, daemon) in &daemons {
                        shared.note(&format!("{mode:?} for {index}, {}", daemon.address));
                        daemon.store.set(mode);
                    }
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    for (_, daemon) in &daemons {
                        daemon.store.set(LinkMode::Pass);
                    }
                    shared.note(&format!("store links of {indices:?} pass"));
                    drop(disturbance);
                });
            }
            trouble => self.strike_workers(trouble, disturbance),
        }
    }

    /// Carries out a trouble of workers.
    fn strike_workers(&mut self, trouble: Trouble, disturbance: Disturbance) {
        let workers = Arc::clone(&self.workers);
        let shared = Arc::clone(&self.shared);
        match trouble {
            Trouble::WorkerLinks(indices, mode, ms) => {
                self.in_flight.spawn(async move {
                    for index in &indices {
                        workers.set_link(*index, mode);
                    }
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    for index in &indices {
                        workers.set_link(*index, LinkMode::Pass);
                    }
                    shared.note(&format!("links of workers {indices:?} pass"));
                    drop(disturbance);
                });
            }
            Trouble::WorkersLeave(indices, notice_ms) => {
                let notice = Duration::from_millis(notice_ms);
                let away = LEFT_FOR;
                for index in indices {
                    workers.leave(index, notice, away);
                }
                self.in_flight.spawn(async move {
                    tokio::time::sleep(notice + away).await;
                    drop(disturbance);
                });
            }
            Trouble::WorkersFail(indices, ms) => {
                self.in_flight.spawn(async move {
                    for index in &indices {
                        workers.set_failing(*index, true);
                    }
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    for index in &indices {
                        workers.set_failing(*index, false);
                    }
                    shared.note("no worker fails all any more");
                    drop(disturbance);
                });
            }
            Trouble::WorkerCrashes(indices, away_ms) => {
                let away = Duration::from_millis(away_ms);
                for index in indices {
                    workers.crash(index, away);
                }
                self.in_flight.spawn(async move {
                    tokio::time::sleep(away).await;
                    drop(disturbance);
                });
            }
            _ => {}
        }
    }

    /// Takes those daemons that nobody else is busy with.
    fn take(&self, indices: &[usize]) -> Vec<(usize, OwnedMutexGuard<Daemon>)> {
        let free = |index: &usize| {
            let daemon = Arc::clone(&self.daemons[*index]).try_lock_owned();
            daemon.ok().map(|daemon| (*index, daemon))
        };
        indices.iter().filter_map(free).collect()
    }
}
