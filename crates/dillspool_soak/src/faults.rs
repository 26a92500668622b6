//! The faults, and the seeded order in which they come.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// One kind of fault; each strikes one host, one backend server or the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A host's process is killed and started again.
    Kill,
    /// A host's process gets the signal to stop, is killed at the end of its grace and started
    /// again.
    Stop,
    /// A host's process stands still for a while.
    Pause,
    /// A host's settings are read again.
    Reload,
    /// The store answers nobody, or refuses everybody, or loses answers, or its history.
    Store,
    /// One host's connections to the store are silenced, reset, delayed or cut one way.
    StoreLink,
    /// One backend server's connections are silenced, reset, delayed or cut one way.
    BackendLink,
    /// One backend server refuses, fails, is mute or breaks answers off.
    Backend,
    /// A backend server crashes and a new one takes its address.
    Replace,
    /// The configuration changes.
    Configuration,
}

const ALL: [FaultKind; 10] = [
    FaultKind::Kill,
    FaultKind::Stop,
    FaultKind::Pause,
    FaultKind::Reload,
    FaultKind::Store,
    FaultKind::StoreLink,
    FaultKind::BackendLink,
    FaultKind::Backend,
    FaultKind::Replace,
    FaultKind::Configuration,
];

/// A fault that is due.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueFault {
    pub(crate) kind: FaultKind,
    /// Time after the fault before it.
    pub(crate) after: Duration,
    /// How long it lasts.
    pub(crate) lasts: Duration,
    /// Which host or backend server, modulo their number.
    pub(crate) target: usize,
    /// Which variant, modulo their number.
    pub(crate) variant: usize,
}

impl DueFault {
    /// Draws a fault of some kinds that strikes at once.
    pub(crate) fn draw(random: &mut SmallRng, kinds: &[FaultKind]) -> Self {
        Self {
            kind: kinds[random.random_range(0..kinds.len())],
            after: Duration::ZERO,
            lasts: Duration::from_millis(random.random_range(200..2_500)),
            target: random.random_range(0..1_000),
            variant: random.random_range(0..1_000),
        }
    }
}

/// Draws faults that come in series and overlap.
pub(crate) fn draw_faults(random: &mut SmallRng, span: Duration) -> Vec<DueFault> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        // A third of the faults follow at once.
        let pause = if random.random_bool(0.33) { 20 } else { random.random_range(100..900) };
        let after = Duration::from_millis(pause);
        at += after;
        if at > span {
            return faults;
        }
        faults.push(DueFault { after, ..DueFault::draw(random, &ALL) });
    }
}
