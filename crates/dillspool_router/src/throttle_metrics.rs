//! Backend servers that name how much they take, and the questions about limits, as figures that are read when
//! they are scraped.

use std::sync::atomic::AtomicU64;

use dillspool_scheduler::LimitClient;
use dillspool_throttle::ThrottleDesk;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Figures of a host's throttle desk, and of its questions.
#[derive(Clone, Debug)]
pub(crate) struct ThrottleMetrics {
    desk: ThrottleDesk,
    clients: [LimitClient; 2],
    limited: Gauge,
    questions: Gauge,
    sends: Counter<u64, AtomicU64>,
}

impl ThrottleMetrics {
    /// Figures of a desk, and of those who ask for the limits of workspaces and of backend servers.
    pub(crate) fn new(desk: ThrottleDesk, clients: [LimitClient; 2]) -> Self {
        let (limited, questions) = (Gauge::default(), Gauge::default());
        Self { desk, clients, limited, questions, sends: Counter::default() }
    }

    /// Registers all figures.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Backend servers that name how many requests a second they take";
        registry.register("limited_backends", help, self.limited.clone());
        let help = "Questions to the holders of limits that wait for an answer";
        registry.register("limit_questions", help, self.questions.clone());
        let help = "Sends to backend servers that had named how many requests a second they take";
        registry.register("limited_sends", help, self.sends.clone());
    }

    /// Takes over what is known now.
    pub(crate) fn refresh(&self) {
        let (limited, sends) = self.desk.counts();
        self.limited.set(i64::try_from(limited).unwrap_or(i64::MAX));
        let questions: usize = self.clients.iter().map(LimitClient::open_questions).sum();
        self.questions.set(i64::try_from(questions).unwrap_or(i64::MAX));
        self.sends.inner().store(sends, std::sync::atomic::Ordering::Relaxed);
    }
}
