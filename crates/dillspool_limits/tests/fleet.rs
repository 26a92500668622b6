//! A fleet of hosts stays within a limit whatever happens to holders and hosts.
//!
//! Models hosts that find, lose and change their holders, are cut off, restart and learn of changes
//! late, while each spends as much as it is granted. Windows are sums over all hosts. The same
//! schedules run with a naive variant that fails: its hosts do not report how many they are, so a
//! new holder believes that it is the first one and grants the whole limit.

use std::time::Duration;

use dillspool_cases::fixed_cases;
use dillspool_limits::{
    LimitHolder, LimitRate, LocalQuota, RateVersion, SpendDecision, SpendRequest,
};
use dillspool_moment::Moment;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;

/// Time step of the model, in ms.
const STEP_MS: u64 = 100;
/// Steps between two heartbeats of a holder.
const HEARTBEAT_STEPS: u64 = 4;
/// Steps after which a holder notices that a silent host has gone.
const DETECTION_STEPS: u64 = 13;
/// Tolerance of a site beyond the limits of workspaces, in tokens.
const SLACK: f64 = 120_000.0;
/// Size of the largest and of the usual request, in tokens.
const LARGE_REQUEST: f64 = 17_000.0;
const USUAL_REQUEST: f64 = 200.0;
const HOSTS: usize = 8;

/// A kind of limit and how far it may be exceeded.
struct LimitKind {
    name: &'static str,
    holder: fn(Moment) -> LimitHolder,
    quota: fn(usize, Moment) -> LocalQuota,
    /// Amounts that a host requests in each step.
    amounts: &'static [f64],
    /// Limits per second; the naive variant runs with the last one.
    rates: &'static [f64],
    /// Minimum burst size.
    least_burst: f64,
    /// Window in steps, and in seconds.
    window_steps: usize,
    window_s: f64,
    /// Multiple of a window's limit and burst that may be spent.
    ratio: f64,
    /// Amount that may be spent beyond that.
    extra: f64,
}

/// For the smaller limit the slack dominates what is allowed beyond it, for the larger one the
/// ratio.
const WORKSPACES: LimitKind = LimitKind {
    name: "workspaces",
    holder: |now| LimitHolder::new(SLACK, now),
    quota: |_host, now| LocalQuota::new(now),
    amounts: &[LARGE_REQUEST, USUAL_REQUEST, USUAL_REQUEST, LARGE_REQUEST, USUAL_REQUEST],
    rates: &[30_000.0, 300_000.0],
    least_burst: 0.0,
    window_steps: 80,
    window_s: 8.0,
    ratio: 1.1,
    extra: SLACK,
};

/// Phases of the hosts' local quotas for limits of backend servers.
const PHASES: [f64; HOSTS] = [0.0, 0.125, 0.25, 0.375, 0.5, 0.625, 0.75, 0.875];

/// Its rates: far below one request a second, what one backend server of a small fleet accepts, and
/// more than a host requests.
const BACKEND_SERVERS: LimitKind = LimitKind {
    name: "backend servers",
    holder: LimitHolder::for_backend_servers,
    // Any phase that differs per host.
    quota: |host, now| LocalQuota::for_backend_servers(PHASES[host], now),
    amounts: &[1.0; 12],
    rates: &[0.1, 0.5, 5.7, 200.0, 40.0],
    least_burst: 1.0,
    window_steps: 40,
    window_s: 4.0,
    // Half as much again of the limit alone; the burst is a second's worth.
    ratio: 1.2,
    extra: 5.0,
};

impl LimitKind {
    /// Maximum that any window may hold.
    fn allowed(&self, per_s: f64) -> f64 {
        (per_s * self.window_s + per_s) * self.ratio + self.extra
    }

    /// Rate that the naive variant runs with.
    fn naive_rate(&self) -> f64 {
        *self.rates.last().expect("it has rates")
    }
}

/// Something that happens to a host.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// It finds this host as its holder.
    Follow(usize),
    /// It loses its link, and its holder notices at once.
    LoseLink,
    /// It is cut off; its holder notices later.
    CutOff,
    /// It restarts.
    Restart,
}

struct Host {
    holder: LimitHolder,
    quota: LocalQuota,
    /// The holder that it asks; itself if it holds the limits.
    holder_index: Option<usize>,
}

/// Whether hosts report their number, or not.
#[derive(Clone, Copy, PartialEq)]
enum Variant {
    Real,
    Naive,
}

struct Fleet {
    kind: &'static LimitKind,
    variant: Variant,
    limit: LimitRate,
    hosts: Vec<Host>,
    /// Hosts that left and whose holder has yet to notice: step and holder.
    leaving: Vec<(u64, usize)>,
    step: u64,
}

fn moment(step: u64) -> Moment {
    Moment::after_origin(Duration::from_millis(step * STEP_MS))
}

impl Fleet {
    fn new(kind: &'static LimitKind, variant: Variant, per_s: f64) -> Self {
        let hosts = (0..HOSTS).map(|host| Self::restarted(kind, variant, host, 0)).collect();
        let limit = LimitRate { per_s, burst: per_s.max(kind.least_burst) };
        Self { kind, variant, limit, hosts, leaving: Vec::new(), step: 0 }
    }

    fn restarted(kind: &LimitKind, variant: Variant, host: usize, step: u64) -> Host {
        let now = moment(step);
        let mut holder = (kind.holder)(now);
        if variant == Variant::Real {
            // The directory rows of the hosts list the others.
            holder.record_host_count(HOSTS, now);
        }
        Host { holder, quota: (kind.quota)(host, now), holder_index: None }
    }

    fn leave(&mut self, host: usize, after: u64) {
        if let Some(asked) = self.hosts[host].holder_index.take() {
            // A host that asks itself notices at once.
            let after = if asked == host { 0 } else { after };
            self.leaving.push((self.step + after, asked));
        }
    }

    fn apply(&mut self, host: usize, event: Event) {
        let now = moment(self.step);
        match event {
            Event::Follow(holder) => {
                self.leave(host, 0);
                let reported_hosts = self.hosts[host].quota.known_hosts(now);
                let reported_hosts = reported_hosts.filter(|_hosts| self.variant == Variant::Real);
                self.hosts[holder].holder.join(reported_hosts, now);
                self.hosts[host].holder_index = Some(holder);
                if self.variant == Variant::Naive {
                    // The holder takes the hosts that ask it for all hosts.
                    let served =
                        self.hosts.iter().filter(|it| it.holder_index == Some(holder)).count();
                    self.hosts[holder].holder.record_host_count(served, now);
                }
            }
            Event::LoseLink => self.leave(host, 0),
            Event::CutOff => self.leave(host, DETECTION_STEPS),
            Event::Restart => {
                self.leave(host, 0);
                self.hosts[host] = Self::restarted(self.kind, self.variant, host, self.step);
                for other in 0..HOSTS {
                    if self.hosts[other].holder_index == Some(host) {
                        self.hosts[other].holder_index = None;
                    }
                }
                self.leaving.retain(|(_step, asked)| *asked != host);
            }
        }
    }

    /// Advances by a step and returns the amount granted in it.
    fn advance(&mut self) -> f64 {
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

    /// A host requests as much as it can get, with large and usual requests mixed.
    fn spend_all(&mut self, host: usize, now: Moment) -> f64 {
        if let Some(asked) = self.hosts[host].holder_index
            && self.step.is_multiple_of(HEARTBEAT_STEPS)
        {
            let hosts = self.hosts[asked].holder.known_hosts(now);
            self.hosts[host].quota.record_heartbeat(hosts, now);
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
            let decision = match self.hosts[host].holder_index {
                Some(asked) => Some(self.hosts[asked].holder.spend(&request, now)),
                None => self.hosts[host].quota.spend(&request, now),
            };
            if decision == Some(SpendDecision::Allowed) {
                sum += amount;
            }
        }
        sum
    }
}

/// The largest window of a schedule, which lists what happens at each step.
fn largest_window(
    kind: &'static LimitKind,
    variant: Variant,
    per_s: f64,
    schedule: &[Option<(usize, Event)>],
) -> f64 {
    let mut fleet = Fleet::new(kind, variant, per_s);
    let mut granted = Vec::new();
    for host in 0..HOSTS {
        fleet.apply(host, Event::Follow(0));
    }
    for event in schedule {
        if let Some((host, event)) = event {
            fleet.apply(*host, *event);
        }
        granted.push(fleet.advance());
    }
    granted.windows(kind.window_steps).map(|window| window.iter().sum()).fold(0.0, f64::max)
}

fn event() -> impl Strategy<Value = (usize, Event)> {
    let event = prop_oneof![
        6 => (0..3_usize).prop_map(Event::Follow),
        1 => Just(Event::LoseLink),
        1 => Just(Event::CutOff),
        1 => Just(Event::Restart),
    ];
    (0..HOSTS, event)
}

/// Events happen in about a third of the steps.
fn schedule() -> impl Strategy<Value = Vec<Option<(usize, Event)>>> {
    let step = prop_oneof![2 => Just(None), 1 => event().prop_map(Some)];
    proptest::collection::vec(step, 260)
}

/// Number of random schedules, the same in every run.
const SCHEDULES: u32 = 100;

fn check_schedules(kind: &'static LimitKind) {
    let mut runner = TestRunner::new(fixed_cases(SCHEDULES));
    let mut naive_exceeded = 0;
    for number in 0..SCHEDULES {
        let tree = schedule().new_tree(&mut runner).expect("a schedule");
        let schedule = tree.current();
        for &per_s in kind.rates {
            let largest = largest_window(kind, Variant::Real, per_s, &schedule);
            let allowed = kind.allowed(per_s);
            assert!(largest <= allowed, "{}, schedule {number}: {largest} of {allowed}", kind.name);
        }
        let per_s = kind.naive_rate();
        let naive = largest_window(kind, Variant::Naive, per_s, &schedule);
        naive_exceeded += u32::from(naive > kind.allowed(per_s));
    }
    let name = kind.name;
    println!(
        "{name}: the naive variant exceeds the limit in {naive_exceeded} of {SCHEDULES} schedules"
    );
    // The schedules are hard enough to tell the two variants apart.
    assert!(
        naive_exceeded > SCHEDULES / 10,
        "{name}: the naive variant exceeds it in {naive_exceeded}"
    );
}

#[test]
fn no_window_exceeds_the_limit_but_the_naive_variant_does() {
    check_schedules(&WORKSPACES);
}

#[test]
fn no_backend_server_gets_more_than_its_limit_but_the_naive_variant_does() {
    check_schedules(&BACKEND_SERVERS);
}

struct FaultCase {
    name: &'static str,
    events: Vec<(usize, usize, Event)>,
    /// Whether the naive variant exceeds the limit.
    naive_exceeds: bool,
}

/// The event for every host but one, starting at a step.
fn all(step: usize, but: usize, event: Event) -> Vec<(usize, usize, Event)> {
    (0..HOSTS).filter(|host| *host != but).map(|host| (step + host / 3, host, event)).collect()
}

#[test]
fn limit_holds_despite_faults_of_holders_and_hosts() {
    let lost_holder = [vec![(100, 0, Event::Restart)], all(105, 0, Event::Follow(1))].concat();
    let moved_back = [lost_holder.clone(), all(125, 0, Event::Follow(0))].concat();
    let half = |step, event| all(step, 8, event).into_iter().filter(|it| it.1 > 3);
    let cut_in_two: Vec<_> = [(100, 4, Event::CutOff), (101, 4, Event::Follow(4))]
        .into_iter()
        .chain(half(102, Event::CutOff).filter(|it| it.1 > 4))
        .chain(half(105, Event::Follow(4)).filter(|it| it.1 > 4))
        .collect();
    let flapping = (0..12).flat_map(|turn| all(90 + turn * 10, 9, Event::Follow(turn % 3)));
    let cases = [
        FaultCase { name: "no faults", events: Vec::new(), naive_exceeds: false },
        FaultCase { name: "holder restarts", events: lost_holder, naive_exceeds: false },
        FaultCase {
            name: "holder restarts and takes over again",
            events: moved_back,
            naive_exceeds: true,
        },
        FaultCase {
            name: "all hosts are cut off",
            events: all(100, 9, Event::CutOff),
            naive_exceeds: false,
        },
        FaultCase { name: "network partition", events: cut_in_two, naive_exceeds: true },
        FaultCase {
            name: "holder keeps changing",
            events: flapping.collect(),
            naive_exceeds: true,
        },
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
                let largest = largest_window(kind, Variant::Real, per_s, &schedule);
                let allowed = kind.allowed(per_s);
                assert!(largest <= allowed, "{}, {}: {largest} of {allowed}", kind.name, case.name);
            }
        }
        let (kind, per_s) = (&WORKSPACES, WORKSPACES.naive_rate());
        let naive = largest_window(kind, Variant::Naive, per_s, &schedule);
        assert_eq!(naive > kind.allowed(per_s), case.naive_exceeds, "{}: {naive}", case.name);
    }
}
