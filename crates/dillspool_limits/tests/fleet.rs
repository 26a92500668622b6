//! A fleet of hosts stays within a limit, whoever holds it, whatever happens to them.
//!
//! A model of hosts that find, lose and change their holders, are cut off, restart and hear of
//! changes late, while every one of them spends as much as it is granted. Windows are sums over all
//! hosts. The plain way, in which hosts do not tell each other how many they are, so that a new holder
//! takes itself for the first and grants all of the limit, is played by the same schedules.

use std::time::Duration;

use dillspool_cases::fixed_cases;
use dillspool_limits::{
    LimitHolder, LimitRate, LocalQuota, RateVersion, SpendDecision, SpendRequest,
};
use dillspool_moment::Moment;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;

/// Step of the model, in ms.
const STEP_MS: u64 = 100;
/// Steps between two words of a holder.
const WORD_STEPS: u64 = 4;
/// Steps after which a holder notices that a silent host has gone.
const GONE_STEPS: u64 = 13;
/// What a site allows beyond the limits of workspaces, in tokens.
const SLACK: f64 = 120_000.0;
/// The largest and the usual request, in tokens.
const LARGE: f64 = 17_000.0;
const PLAIN: f64 = 200.0;
const HOSTS: usize = 8;

/// Whose limits are kept, and how much of them may be passed.
struct LimitKind {
    name: &'static str,
    holder: fn(Moment) -> LimitHolder,
    parts: fn(usize, Moment) -> LocalQuota,
    /// What a host asks for in each step, as far as it gets it.
    amounts: &'static [f64],
    /// Limits a second; the plain way is played with the last one.
    rates: &'static [f64],
    /// What may be spent at once at least.
    least_burst: f64,
    /// Window in steps, and in seconds.
    window_steps: usize,
    window_s: f64,
    /// How often the limit of a window and its burst may be had,
    ratio: f64,
    /// and so much beyond.
    beyond: f64,
}

/// A limit where the slack is what may be passed, and one where the excess is.
const WORKSPACES: LimitKind = LimitKind {
    name: "workspaces",
    holder: |now| LimitHolder::new(SLACK, now),
    parts: |_host, now| LocalQuota::new(now),
    amounts: &[LARGE, PLAIN, PLAIN, LARGE, PLAIN],
    rates: &[30_000.0, 300_000.0],
    least_burst: 0.0,
    window_steps: 80,
    window_s: 8.0,
    ratio: 1.1,
    beyond: SLACK,
};

/// What tells the hosts' own parts of backend servers' limits apart.
const PHASES: [f64; HOSTS] = [0.0, 0.125, 0.25, 0.375, 0.5, 0.625, 0.75, 0.875];

/// Far below a request a second, what one server takes of a small fleet, and more than a host asks for.
const BACKEND_SERVERS: LimitKind = LimitKind {
    name: "backend servers",
    holder: LimitHolder::for_backend_servers,
    // Some phase that is another one on each host.
    parts: |host, now| LocalQuota::for_backend_servers(PHASES[host], now),
    amounts: &[1.0; 12],
    rates: &[0.1, 0.5, 5.7, 200.0, 40.0],
    least_burst: 1.0,
    window_steps: 40,
    window_s: 4.0,
    // Half as much again of the limit alone; the burst is a second's worth.
    ratio: 1.2,
    beyond: 5.0,
};

impl LimitKind {
    /// The most that any window may hold.
    fn allowed(&self, per_s: f64) -> f64 {
        (per_s * self.window_s + per_s) * self.ratio + self.beyond
    }

    /// The rate with which the plain way is played.
    fn plain_rate(&self) -> f64 {
        *self.rates.last().expect("it has rates")
    }
}

/// What happens to a host.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// It finds this one as its holder.
    Follow(usize),
    /// It has no link any more, and its holder sees that.
    Lose,
    /// It is cut off: its holder sees that later.
    Cut,
    /// It starts anew.
    Restart,
}

struct Host {
    holder: LimitHolder,
    parts: LocalQuota,
    /// Whom it asks; itself where it holds the limits.
    asks: Option<usize>,
}

/// Whether a holder is the real one, or the plain one.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Kept,
    Plain,
}

struct Fleet {
    kind: &'static LimitKind,
    way: Way,
    limit: LimitRate,
    hosts: Vec<Host>,
    /// Holders that have yet to notice that a host has gone: at which step.
    leaving: Vec<(u64, usize)>,
    step: u64,
}

fn moment(step: u64) -> Moment {
    Moment::after_origin(Duration::from_millis(step * STEP_MS))
}

impl Fleet {
    fn new(kind: &'static LimitKind, way: Way, per_s: f64) -> Self {
        let hosts = (0..HOSTS).map(|host| Self::fresh(kind, way, host, 0)).collect();
        let limit = LimitRate { per_s, burst: per_s.max(kind.least_burst) };
        Self { kind, way, limit, hosts, leaving: Vec::new(), step: 0 }
    }

    fn fresh(kind: &LimitKind, way: Way, host: usize, step: u64) -> Host {
        let now = moment(step);
        let mut holder = (kind.holder)(now);
        if way == Way::Kept {
            // The rows of the hosts name the others.
            holder.record_host_count(HOSTS, now);
        }
        Host { holder, parts: (kind.parts)(host, now), asks: None }
    }

    fn leave(&mut self, host: usize, after: u64) {
        if let Some(asked) = self.hosts[host].asks.take() {
            // A host that asks itself knows at once.
            let after = if asked == host { 0 } else { after };
            self.leaving.push((self.step + after, asked));
        }
    }

    fn apply(&mut self, host: usize, event: Event) {
        let now = moment(self.step);
        match event {
            Event::Follow(holder) => {
                self.leave(host, 0);
                let told = self.hosts[host].parts.known_hosts(now);
                let told = told.filter(|_hosts| self.way == Way::Kept);
                self.hosts[holder].holder.join(told, now);
                self.hosts[host].asks = Some(holder);
                if self.way == Way::Plain {
                    // It takes those that ask it for all hosts.
                    let served = self.hosts.iter().filter(|it| it.asks == Some(holder)).count();
                    self.hosts[holder].holder.record_host_count(served, now);
                }
            }
            Event::Lose => self.leave(host, 0),
            Event::Cut => self.leave(host, GONE_STEPS),
            Event::Restart => {
                self.leave(host, 0);
                self.hosts[host] = Self::fresh(self.kind, self.way, host, self.step);
                for other in 0..HOSTS {
                    if self.hosts[other].asks == Some(host) {
                        self.hosts[other].asks = None;
                    }
                }
                self.leaving.retain(|(_step, asked)| *asked != host);
            }
        }
    }

    /// Goes on by a step and returns what was granted in it.
    fn pass(&mut self) -> f64 {
        self.step += 1;
        let (step, now) = (self.step, moment(self.step));
        let hosts = &mut self.hosts;
        self.leaving.retain(|(at, asked)| {
            let due = *at <= step;
            if due {
                hosts[*asked].holder.leave(now);
            }
            !due
        });
        (0..HOSTS).map(|host| self.spend_all(host, now)).sum()
    }

    /// A host asks for as much as it gets, large requests among plain ones.
    fn spend_all(&mut self, host: usize, now: Moment) -> f64 {
        if let Some(asked) = self.hosts[host].asks
            && self.step.is_multiple_of(WORD_STEPS)
        {
            let hosts = self.hosts[asked].holder.known_hosts(now);
            self.hosts[host].parts.record_heartbeat(hosts, now);
        }
        let mut sum = 0.0;
        for &amount in self.kind.amounts {
            let request = SpendRequest {
                subject: "w".into(),
                rate: self.limit,
                version: RateVersion::Config(1),
                amount,
                priority: 0,
                unreported: 0.0,
            };
            let decision = match self.hosts[host].asks {
                Some(asked) => Some(self.hosts[asked].holder.spend(&request, now)),
                None => self.hosts[host].parts.spend(&request, now),
            };
            if decision == Some(SpendDecision::Allowed) {
                sum += amount;
            }
        }
        sum
    }
}

/// The largest window of a schedule: at each step, what happens then.
fn largest_window(
    kind: &'static LimitKind,
    way: Way,
    per_s: f64,
    schedule: &[Option<(usize, Event)>],
) -> f64 {
    let mut fleet = Fleet::new(kind, way, per_s);
    let mut granted = Vec::new();
    for host in 0..HOSTS {
        fleet.apply(host, Event::Follow(0));
    }
    for event in schedule {
        if let Some((host, event)) = event {
            fleet.apply(*host, *event);
        }
        granted.push(fleet.pass());
    }
    granted.windows(kind.window_steps).map(|window| window.iter().sum()).fold(0.0, f64::max)
}

fn event() -> impl Strategy<Value = (usize, Event)> {
    let event = prop_oneof![
        6 => (0..3_usize).prop_map(Event::Follow),
        1 => Just(Event::Lose),
        1 => Just(Event::Cut),
        1 => Just(Event::Restart),
    ];
    (0..HOSTS, event)
}

/// Something happens in a part of the steps.
fn schedule() -> impl Strategy<Value = Vec<Option<(usize, Event)>>> {
    let step = prop_oneof![2 => Just(None), 1 => event().prop_map(Some)];
    proptest::collection::vec(step, 260)
}

/// Schedules of the property, alike in every run.
const SCHEDULES: u32 = 100;

fn check_schedules(kind: &'static LimitKind) {
    let mut runner = TestRunner::new(fixed_cases(SCHEDULES));
    let mut plain_passed = 0;
    for number in 0..SCHEDULES {
        let tree = schedule().new_tree(&mut runner).expect("a schedule");
        let schedule = tree.current();
        for &per_s in kind.rates {
            let kept = largest_window(kind, Way::Kept, per_s, &schedule);
            let allowed = kind.allowed(per_s);
            assert!(kept <= allowed, "{}, schedule {number}: {kept} of {allowed}", kind.name);
        }
        let per_s = kind.plain_rate();
        let plain = largest_window(kind, Way::Plain, per_s, &schedule);
        plain_passed += u32::from(plain > kind.allowed(per_s));
    }
    let name = kind.name;
    println!("{name}: the plain way passes the limit in {plain_passed} of {SCHEDULES} schedules");
    // The schedules are hard enough to tell the two apart.
    assert!(plain_passed > SCHEDULES / 10, "{name}: the plain way passes it in {plain_passed}");
}

#[test]
fn no_window_passes_the_limit_and_the_plain_way_does() {
    check_schedules(&WORKSPACES);
}

#[test]
fn no_backend_server_gets_more_than_it_names_and_in_the_plain_way_it_does() {
    check_schedules(&BACKEND_SERVERS);
}

struct FaultCase {
    name: &'static str,
    events: Vec<(usize, usize, Event)>,
    /// Whether the plain way passes the limit.
    plain_passes: bool,
}

/// Every host but one at a step.
fn all(step: usize, but: usize, event: Event) -> Vec<(usize, usize, Event)> {
    (0..HOSTS).filter(|host| *host != but).map(|host| (step + host / 3, host, event)).collect()
}

#[test]
fn faults_of_holders_and_hosts_keep_the_limit() {
    let lost_holder = [vec![(100, 0, Event::Restart)], all(105, 0, Event::Follow(1))].concat();
    let moved_back = [lost_holder.clone(), all(125, 0, Event::Follow(0))].concat();
    let half = |step, event| all(step, 8, event).into_iter().filter(|it| it.1 > 3);
    let cut_in_two: Vec<_> = [(100, 4, Event::Cut), (101, 4, Event::Follow(4))]
        .into_iter()
        .chain(half(102, Event::Cut).filter(|it| it.1 > 4))
        .chain(half(105, Event::Follow(4)).filter(|it| it.1 > 4))
        .collect();
    let flapping = (0..12).flat_map(|turn| all(90 + turn * 10, 9, Event::Follow(turn % 3)));
    let cases = [
        FaultCase { name: "nothing", events: Vec::new(), plain_passes: false },
        FaultCase { name: "its holder restarts", events: lost_holder, plain_passes: false },
        FaultCase { name: "and takes over again", events: moved_back, plain_passes: true },
        FaultCase { name: "all are cut off", events: all(100, 9, Event::Cut), plain_passes: false },
        FaultCase { name: "cut in two", events: cut_in_two, plain_passes: true },
        FaultCase { name: "holders change", events: flapping.collect(), plain_passes: true },
    ];
    for case in cases {
        let mut schedule = vec![None; 400];
        for (mut step, host, event) in case.events {
            while schedule[step].is_some() {
                step += 1;
            }
            schedule[step] = Some((host, event));
        }
        for kind in [&WORKSPACES, &BACKEND_SERVERS] {
            for &per_s in kind.rates {
                let kept = largest_window(kind, Way::Kept, per_s, &schedule);
                let allowed = kind.allowed(per_s);
                assert!(kept <= allowed, "{}, {}: {kept} of {allowed}", kind.name, case.name);
            }
        }
        let (kind, per_s) = (&WORKSPACES, WORKSPACES.plain_rate());
        let plain = largest_window(kind, Way::Plain, per_s, &schedule);
        assert_eq!(plain > kind.allowed(per_s), case.plain_passes, "{}: {plain}", case.name);
    }
}
