//! Keeps the newest configuration in force on this host; it never goes back.

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

/// Time between two reads of the commit record; a change is in force well within 4 s.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Random part of the interval, so that many hosts do not read at once.
const POLL_JITTER: Duration = Duration::from_millis(250);

/// The last change, for peers that stand at its base.
#[derive(Clone, Debug)]
struct LastChange {
    base: ConfigVersion,
    body: Name,
}

/// The configuration in force and the way to newer ones.
#[derive(Clone, Debug)]
pub(crate) struct ConfigKeeper {
    store: ConfigStore,
    current: Arc<watch::Sender<Option<Arc<ConfigSnapshot>>>>,
    last_change: Arc<Mutex<Option<LastChange>>>,
}

impl ConfigKeeper {
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

    /// Puts a snapshot in force if it is newer than what is; `false` if it is not.
    fn adopt(&self, snapshot: ConfigSnapshot) -> bool {
        let snapshot = Arc::new(snapshot);
        let adopted = self.current.send_if_modified(|current| {
            // A restored store may give one version to two changes; the one that it has counts.
            let newer = current.as_ref().is_none_or(|it| {
                it.version < snapshot.version
                    || (it.version == snapshot.version && it.digest != snapshot.digest)
            });
            if newer {
                self.note_change(current.as_deref(), &snapshot);
                *current = Some(Arc::clone(&snapshot));
            }
            newer
        });
        if adopted {
            log::info!("event=config_in_force version={}", snapshot.version);
        }
        adopted
    }

    fn note_change(&self, base: Option<&ConfigSnapshot>, next: &ConfigSnapshot) {
        let change = base.and_then(|base| {
            let delta = ConfigDelta::between(&base.configuration, &next.configuration);
            let body = serde_json::to_string(&delta).ok()?.into();
            Some(LastChange { base: base.version, body })
        });
        *self.last_change.lock().unwrap_or_else(PoisonError::into_inner) = change;
    }

    /// Reads the commit record and takes a newer configuration over. A record that is older than what is in force is
    /// that of a store which came back from a copy; what it has lost is written again.
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
                Some(_) | None => return self.write_again(current).await,
            }
        }
        let Some(head) = head else { return };
        match self.store.fetch(&head, current.as_deref()).await {
            Ok(snapshot) => {
                self.adopt(snapshot);
            }
            Err(error) => log::warn!("event=config_not_fetched error=\"{error}\""),
        }
    }

    async fn write_again(&self, current: &ConfigSnapshot) {
        let version = current.version;
        match self.store.restore(current).await {
            Ok(true) => log::warn!("event=config_written_again version={version}"),
            Ok(false) => {}
            Err(error) => {
                log::warn!("event=config_not_written_again version={version} error=\"{error}\"");
            }
        }
    }

    /// What a peer at an older version needs, `None` if it needs nothing.
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

    /// Takes over what a peer sent, if it is newer and leads to the digest it promises.
    pub(crate) fn take_transfer(&self, transfer: &ConfigTransfer) {
        let Some(configuration) = self.unpack(transfer) else {
            return;
        };
        let snapshot = ConfigSnapshot::new(ConfigVersion(transfer.version), configuration);
        if snapshot.digest != transfer.digest {
            log::warn!("event=config_digest_differs version={}", transfer.version);
        } else if snapshot.version > self.version() {
            self.adopt(snapshot);
        }
    }

    fn unpack(&self, transfer: &ConfigTransfer) -> Option<Configuration> {
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

    /// Polls until `cancel`.
    pub(crate) async fn keep(self, seed: u64, cancel: CancellationToken) {
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

/// Pause before an acknowledgement is written again.
const ACK_RETRY: Duration = Duration::from_millis(500);

/// Writes which version is in force, after each change, until it stands in the table.
pub(crate) async fn acknowledge_versions(
    keeper: ConfigKeeper,
    table: TableStore,
    host: Name,
    incarnation: u64,
    cancel: CancellationToken,
) {
    let mut versions = keeper.subscribe();
    let mut written = ConfigVersion(0);
    loop {
        let version = keeper.version();
        versions.mark_unchanged();
        let ack = ConfigAck { version, incarnation };
        if version > written && write_ack(&table, &host, &ack).await.is_ok() {
            written = version;
        }
        let missing = keeper.version() > written;
        tokio::select! {
            _changed = versions.changed(), if !missing => {}
            () = tokio::time::sleep(ACK_RETRY), if missing => {}
            () = cancel.cancelled() => return,
        }
    }
}
