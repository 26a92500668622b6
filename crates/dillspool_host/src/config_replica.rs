//! This host's replica of the newest configuration; its version never decreases.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_config::{ConfigDelta, ConfigSnapshot, ConfigStore, ConfigVersion};
use dillspool_platform::TableStore;
use dillspool_schema::Name;
use dillspool_schema::configuration::Configuration;
use dillspool_schema::messages::{ConfigQuery, ConfigTransfer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::acks::{ConfigAck, write_ack};

/// Interval between reads of the commit record; a change is active well within 4 s.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum jitter added to the interval, so that hosts do not all read at once.
const POLL_JITTER: Duration = Duration::from_millis(250);

/// The last change, sent to peers whose version is its base.
#[derive(Clone, Debug)]
struct LastChange {
    base: ConfigVersion,
    body: Name,
}

/// The active configuration, with the store from which newer ones are read.
#[derive(Clone, Debug)]
pub(crate) struct ConfigReplica {
    store: ConfigStore,
    current: Arc<watch::Sender<Option<Arc<ConfigSnapshot>>>>,
    last_change: Arc<Mutex<Option<LastChange>>>,
}

impl ConfigReplica {
    pub(crate) fn new(store: ConfigStore) -> Self {
        let (current, _) = watch::channel(None);
        Self { store, current: Arc::new(current), last_change: Arc::default() }
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Arc<ConfigSnapshot>>> {
        self.current.subscribe()
    }

    pub(crate) fn store(&self) -> &ConfigStore {
        &self.store
    }

    pub(crate) fn current(&self) -> Option<Arc<ConfigSnapshot>> {
        self.current.borrow().clone()
    }

    pub(crate) fn version(&self) -> ConfigVersion {
        self.current().map_or(ConfigVersion(0), |snapshot| snapshot.version)
    }

    /// Activates a snapshot if it is newer than the active one, and returns whether it did.
    fn activate(&self, snapshot: ConfigSnapshot) -> bool {
        let snapshot = Arc::new(snapshot);
        let activated = self.current.send_if_modified(|current| {
            // A restored store may assign the same version to two changes; the one in the store wins.
            let newer = current.as_ref().is_none_or(|it| {
                it.version < snapshot.version
                    || (it.version == snapshot.version && it.digest != snapshot.digest)
            });
            if newer {
                self.record_change(current.as_deref(), &snapshot);
                *current = Some(Arc::clone(&snapshot));
            }
            newer
        });
        if activated {
            log::info!("event=config_in_force version={}", snapshot.version);
        }
        activated
    }

    fn record_change(&self, base: Option<&ConfigSnapshot>, next: &ConfigSnapshot) {
        let change = base.and_then(|base| {
            let delta = ConfigDelta::between(&base.configuration, &next.configuration);
            let body = serde_json::to_string(&delta).ok()?.into();
            Some(LastChange { base: base.version, body })
        });
        *self.last_change.lock().unwrap_or_else(PoisonError::into_inner) = change;
    }

    /// Reads the commit record and activates a newer configuration. A record older than the active
    /// version comes from a store that was restored from a copy; the lost record is written again.
    pub(crate) async fn poll(&self) {
        let head = match self.store.head().await {
            Ok(head) => head,
            Err(error) => {
                log::debug!("event=config_not_read error=\"{error}\"");
                return;
            }
        };
        let current = self.current();
        if let Some(current) = &current {
            match &head {
                Some(head) if head.version > current.version => {}
                Some(head) if head.version == current.version => {
                    if head.digest == current.digest {
                        return;
                    }
                }
                Some(_) | None => return self.restore_record(current).await,
            }
        }
        let Some(head) = head else { return };
        match self.store.fetch(&head, current.as_deref()).await {
            Ok(snapshot) => {
                self.activate(snapshot);
            }
            Err(error) => log::warn!("event=config_not_fetched error=\"{error}\""),
        }
    }

    async fn restore_record(&self, current: &ConfigSnapshot) {
        let version = current.version;
        match self.store.restore(current).await {
            Ok(true) => log::warn!("event=config_written_again version={version}"),
            Ok(false) => {}
            Err(error) => {
                log::warn!("event=config_not_written_again version={version} error=\"{error}\"");
            }
        }
    }

    /// Returns what a peer at an older version needs, `None` if it is up to date.
    pub(crate) fn transfer(&self, query: &ConfigQuery) -> Option<ConfigTransfer> {
        let current = self.current()?;
        if query.base >= current.version.0 {
            return None;
        }
        let change = self.last_change.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let (base, body) = match change {
            Some(change) if change.base.0 == query.base => (change.base, change.body),
            _ => {
                let text = serde_json::to_string(&current.configuration).ok()?;
                (ConfigVersion(0), text.into())
            }
        };
        Some(ConfigTransfer {
            base: base.0,
            version: current.version.0,
            digest: Name::clone(&current.digest),
            body,
        })
    }

    /// Activates the configuration that a peer sent, if it is newer and matches its digest.
    pub(crate) fn apply_transfer(&self, transfer: &ConfigTransfer) {
        let Some(configuration) = self.decode_transfer(transfer) else {
            return;
        };
        let snapshot = ConfigSnapshot::new(ConfigVersion(transfer.version), configuration);
        if snapshot.digest != transfer.digest {
            log::warn!("event=config_digest_differs version={}", transfer.version);
        } else if snapshot.version > self.version() {
            self.activate(snapshot);
        }
    }

    fn decode_transfer(&self, transfer: &ConfigTransfer) -> Option<Configuration> {
        if transfer.base == 0 {
            return serde_json::from_str(&transfer.body).ok();
        }
        let current = self.current()?;
        if current.version.0 != transfer.base {
            return None;
        }
        let delta: ConfigDelta = serde_json::from_str(&transfer.body).ok()?;
        Some(delta.apply(&current.configuration))
    }

    /// Polls the store until `cancel`.
    pub(crate) async fn run(self, seed: u64, cancel: CancellationToken) {
        let mut random = SmallRng::seed_from_u64(seed);
        loop {
            self.poll().await;
            let jitter = random.random_range(Duration::ZERO..POLL_JITTER);
            tokio::select! {
                () = tokio::time::sleep(POLL_INTERVAL + jitter) => {}
                () = cancel.cancelled() => return,
            }
        }
    }
}

/// Delay before retrying to write an acknowledgement.
const ACK_RETRY: Duration = Duration::from_millis(500);

/// Acknowledges each activated version in the table; retries until it is written.
pub(crate) async fn acknowledge_versions(
    config_replica: ConfigReplica,
    table: TableStore,
    host: Name,
    incarnation: u64,
    cancel: CancellationToken,
) {
    let mut versions = config_replica.subscribe();
    let mut written = ConfigVersion(0);
    loop {
        let version = config_replica.version();
        versions.mark_unchanged();
        let ack = ConfigAck { version, incarnation };
        if version > written && write_ack(&table, &host, &ack).await.is_ok() {
            written = version;
        }
        let is_pending = config_replica.version() > written;
        tokio::select! {
            _changed = versions.changed(), if !is_pending => {}
            () = tokio::time::sleep(ACK_RETRY), if is_pending => {}
            () = cancel.cancelled() => return,
        }
    }
}
