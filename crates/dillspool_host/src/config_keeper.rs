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
            let newer = current.as_ref().is_none_or(|it| it.version < snapshot.version);
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

    /// Reads the commit record and takes a newer configuration over.
    pub(crate) async fn poll(&self) {
        let head = match self.store.head().await {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(error) => {
                log::debug!("event=config_not_read error=\"{error}\"");
                return;
            }
        };
        let current = self.current();
        if current.as_ref().is_some_and(|it| it.version >= head.version) {
            return;
        }
        match self.store.fetch(&head, current.as_deref()).await {
            Ok(snapshot) => {
                self.adopt(snapshot);
            }
            Err(error) => log::warn!("event=config_not_fetched error=\"{error}\""),
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
        if snapshot.digest == transfer.digest {
            self.adopt(snapshot);
        } else {
            log::warn!("event=config_digest_differs version={}", transfer.version);
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
