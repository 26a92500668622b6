//! Configuration in the platform's table and object store.
//!
//! The row `config/head` is the one commit record: it names version, digest and base, and changes
//! only by compare-and-set, in one transaction with its audit row. See
//! `docs/design/configuration.md`.

use std::time::Duration;

use dillspool_io::{UnixMillis, WallClock};
use dillspool_platform::{
    CommitReply, ObjectStore, PlatformError, PutRequest, RowPrecondition, RowWrite, ScanRequest,
    StoreVersion, TableStore,
};
use dillspool_schema::Name;
use dillspool_schema::configuration::Configuration;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::delta::ConfigDelta;
use crate::snapshot::{ConfigSnapshot, ConfigVersion, digest_configuration};

/// Key of the commit record.
const HEAD_KEY: &str = "config/head";
/// Prefix of the audit rows; a fixed width keeps them in order.
const AUDIT_PREFIX: &str = "audit/";
/// How often an unclear commit is settled before the operator is told that it is unclear.
const SETTLE_TRIES: u32 = 20;
/// Pause between two tries to settle.
const SETTLE_PAUSE: Duration = Duration::from_millis(250);

/// The commit record of the newest configuration.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ConfigHead {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Digest of the whole.
    pub digest: Name,
    /// Version that the stored delta is bound to; 0 for none.
    pub base: ConfigVersion,
    /// Token of the attempt that wrote the record.
    pub token: Name,
    /// Operator who applied it.
    pub operator: Name,
}

/// One row of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct AuditRow {
    /// Operator who made the change.
    pub operator: Name,
    /// When.
    pub at: UnixMillis,
    /// Version before.
    pub from: ConfigVersion,
    /// Version after.
    pub to: ConfigVersion,
    /// Token of the attempt.
    pub token: Name,
    /// What changed, a line each.
    pub changes: Vec<String>,
}

/// A configuration that was committed.
#[derive(Clone, Debug)]
pub struct AppliedConfig {
    /// Version that it got.
    pub version: ConfigVersion,
    /// What changed, a line each; empty when nothing did.
    pub changes: Vec<String>,
}

/// Why a configuration was not applied.
#[derive(Debug, Snafu)]
pub enum ApplyError {
    /// Another operator's change came first.
    #[snafu(display(
        "version {version} by `{winner}` came first; look at it with `dillspool diff`, then apply again"
    ))]
    LostRace {
        /// Operator whose change won.
        winner: Name,
        /// Version in the table.
        version: ConfigVersion,
    },
    /// The platform refused.
    #[snafu(display("nothing was changed: {source}"))]
    NotApplied {
        /// What the platform said.
        source: PlatformError,
    },
    /// It could not be found out whether the change took effect.
    #[snafu(display(
        "it is unclear whether version {version} took effect; see `dillspool status`"
    ))]
    Unclear {
        /// Version that was tried.
        version: ConfigVersion,
    },
    /// What the table and the object store hold does not fit.
    #[snafu(display("the stored configuration cannot be read: {reason}; restore the object"))]
    Corrupt {
        /// What does not fit.
        reason: String,
    },
}

/// Reads and writes configurations.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    table: TableStore,
    objects: ObjectStore,
    clock: WallClock,
}

struct HeadRow {
    head: ConfigHead,
    row_version: StoreVersion,
}

impl ConfigStore {
    /// A store over the platform's services.
    pub fn new(table: TableStore, objects: ObjectStore, clock: WallClock) -> Self {
        Self { table, objects, clock }
    }

    /// The newest commit record, `None` before the first.
    ///
    /// # Errors
    ///
    /// [`ApplyError::NotApplied`] when the table does not answer.
    pub async fn head(&self) -> Result<Option<ConfigHead>, ApplyError> {
        Ok(self.head_row().await?.map(|row| row.head))
    }

    async fn head_row(&self) -> Result<Option<HeadRow>, ApplyError> {
        let row = self.table.read_one(HEAD_KEY.into()).await.context(NotAppliedSnafu)?;
        let Some(row) = row else { return Ok(None) };
        match serde_json::from_str(&row.value) {
            Ok(head) => Ok(Some(HeadRow { head, row_version: row.version })),
            Err(error) => CorruptSnafu { reason: error.to_string() }.fail(),
        }
    }

    /// Reads the configuration that a commit record names, as a delta where `current` is its base.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] when the store does not answer or the digest does not fit.
    pub async fn fetch(
        &self,
        head: &ConfigHead,
        current: Option<&ConfigSnapshot>,
    ) -> Result<ConfigSnapshot, ApplyError> {
        if let Some(current) = current
            && current.version == head.base
            && let Some(snapshot) = self.fetch_delta(head, current).await?
        {
            return Ok(snapshot);
        }
        let text = self.object(full_key(&head.digest)).await?;
        let Some(text) = text else {
            return CorruptSnafu { reason: format!("no object for {}", head.digest) }.fail();
        };
        let configuration = match serde_json::from_str(&text) {
            Ok(configuration) => configuration,
            Err(error) => {
                return CorruptSnafu { reason: error.to_string() }.fail();
            }
        };
        let snapshot = ConfigSnapshot::new(head.version, configuration);
        if snapshot.digest != head.digest {
            return CorruptSnafu { reason: format!("digest of {} differs", head.version) }.fail();
        }
        Ok(snapshot)
    }

    /// A delta that does not lead to the promised digest is left aside: the full read recovers.
    async fn fetch_delta(
        &self,
        head: &ConfigHead,
        current: &ConfigSnapshot,
    ) -> Result<Option<ConfigSnapshot>, ApplyError> {
        let Some(text) = self.object(delta_key(head.base, &head.digest)).await? else {
            return Ok(None);
        };
        let Ok(delta) = serde_json::from_str::<ConfigDelta>(&text) else {
            return Ok(None);
        };
        let snapshot = ConfigSnapshot::new(head.version, delta.apply(&current.configuration));
        Ok((snapshot.digest == head.digest).then_some(snapshot))
    }

    async fn object(&self, key: Name) -> Result<Option<String>, ApplyError> {
        let reply = (self.objects.get)(key).await.context(NotAppliedSnafu)?;
        Ok(reply.text)
    }

    /// Commits a configuration as the version after `expected`.
    ///
    /// Without `expected` the change is made on whatever is newest when it is read. `token` names
    /// this attempt and must never be used for another.
    ///
    /// # Errors
    ///
    /// [`ApplyError::LostRace`] names the operator who came first.
    pub async fn apply(
        &self,
        expected: Option<ConfigVersion>,
        next: &Configuration,
        operator: Name,
        token: Name,
    ) -> Result<AppliedConfig, ApplyError> {
        let before = self.head_row().await?;
        let from = before.as_ref().map_or(ConfigVersion(0), |row| row.head.version);
        if let (Some(expected), Some(row)) = (expected, &before)
            && expected != from
        {
            let winner = Name::clone(&row.head.operator);
            return LostRaceSnafu { winner, version: from }.fail();
        }
        let base = match &before {
            Some(row) => Some(self.fetch(&row.head, None).await?),
            None => None,
        };
        let delta = base.map(|base| ConfigDelta::between(&base.configuration, next));
        if delta.as_ref().is_some_and(ConfigDelta::is_empty) {
            return Ok(AppliedConfig { version: from, changes: Vec::new() });
        }
        let digest = digest_configuration(next);
        self.put_objects(from, &digest, next, delta.as_ref()).await?;
        let to = ConfigVersion(from.0 + 1);
        let changes =
            delta.map_or_else(|| vec!["+ first version".to_owned()], |it| it.summary_lines());
        let head = ConfigHead {
            version: to,
            digest,
            base: from,
            token: Name::clone(&token),
            operator: Name::clone(&operator),
        };
        let audit =
            AuditRow { operator, at: self.clock.now(), from, to, token, changes: changes.clone() };
        let expect =
            before.map_or(RowPrecondition::Absent, |row| RowPrecondition::Version(row.row_version));
        self.commit_head(&head, &audit, expect).await?;
        Ok(AppliedConfig { version: to, changes })
    }

    /// Writes a configuration again that hosts act on and the store has lost, since it came back from a copy; false
    /// where it has not.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] when the store does not answer, or an operator's change came first.
    pub async fn restore(&self, current: &ConfigSnapshot) -> Result<bool, ApplyError> {
        let before = self.head_row().await?;
        let from = before.as_ref().map_or(ConfigVersion(0), |row| row.head.version);
        if from >= current.version {
            return Ok(false);
        }
        let ConfigSnapshot { version: to, digest, .. } = current;
        self.put_objects(from, digest, &current.configuration, None).await?;
        let row_version = before.as_ref().map(|row| row.row_version).unwrap_or_default();
        // All hosts that write this row again write the same.
        let token: Name = format!("again.{to}.{digest}.{row_version}").into();
        let operator = Name::from("dillspool");
        let head = ConfigHead {
            version: *to,
            digest: Name::clone(digest),
            base: ConfigVersion(0),
            token: Name::clone(&token),
            operator: Name::clone(&operator),
        };
        let changes = vec!["= written again, the store had lost it".to_owned()];
        let audit = AuditRow { operator, at: self.clock.now(), from, to: *to, token, changes };
        let expect =
            before.map_or(RowPrecondition::Absent, |row| RowPrecondition::Version(row.row_version));
        self.commit_head(&head, &audit, expect).await?;
        Ok(true)
    }

    async fn put_objects(
        &self,
        base: ConfigVersion,
        digest: &Name,
        next: &Configuration,
        delta: Option<&ConfigDelta>,
    ) -> Result<(), ApplyError> {
        let full = serde_json::to_string(next).unwrap_or_default();
        let put = PutRequest { key: full_key(digest), text: full };
        (self.objects.put)(put).await.context(NotAppliedSnafu)?;
        let Some(delta) = delta else { return Ok(()) };
        let text = serde_json::to_string(delta).unwrap_or_default();
        let put = PutRequest { key: delta_key(base, digest), text };
        (self.objects.put)(put).await.context(NotAppliedSnafu)
    }

    /// Commits head and audit row; an unclear answer is settled by committing again on the same
    /// condition, which can take effect only once, and by reading back the attempt's token.
    async fn commit_head(
        &self,
        head: &ConfigHead,
        audit: &AuditRow,
        expect: RowPrecondition,
    ) -> Result<(), ApplyError> {
        let writes = vec![
            row_write(HEAD_KEY.into(), expect, head),
            row_write(audit_key(head.version), RowPrecondition::Absent, audit),
        ];
        let mut unclear = false;
        for attempt in 0..SETTLE_TRIES {
            if attempt > 0 {
                tokio::time::sleep(SETTLE_PAUSE).await;
            }
            match self.table.commit(writes.clone()).await {
                Ok(CommitReply::Committed) => return Ok(()),
                Ok(CommitReply::Conflict(_)) => {
                    if let Ok(outcome) = self.settle_conflict(head).await {
                        return outcome;
                    }
                    unclear = true;
                }
                Err(PlatformError::Unknown { .. }) => unclear = true,
                Err(source @ PlatformError::NotDone { .. }) if !unclear => {
                    return Err(ApplyError::NotApplied { source });
                }
                Err(PlatformError::NotDone { .. }) => {}
            }
        }
        UnclearSnafu { version: head.version }.fail()
    }

    /// After a conflict the audit row of the version tells whose change it is.
    async fn settle_conflict(
        &self,
        head: &ConfigHead,
    ) -> Result<Result<(), ApplyError>, PlatformError> {
        let row = self.table.read_one(audit_key(head.version)).await?;
        let audit = row.and_then(|row| serde_json::from_str::<AuditRow>(&row.value).ok());
        Ok(match audit {
            Some(audit) if audit.token == head.token => Ok(()),
            Some(audit) => LostRaceSnafu { winner: audit.operator, version: audit.to }.fail(),
            None => CorruptSnafu { reason: format!("no audit row of {}", head.version) }.fail(),
        })
    }

    /// The newest `limit` rows of the audit trail after a version, oldest first.
    ///
    /// # Errors
    ///
    /// [`ApplyError::NotApplied`] when the table does not answer.
    pub async fn audit(
        &self,
        after: ConfigVersion,
        limit: usize,
    ) -> Result<Vec<AuditRow>, ApplyError> {
        let request = ScanRequest { prefix: AUDIT_PREFIX.into(), after: audit_key(after), limit };
        let reply = (self.table.scan)(request).await.context(NotAppliedSnafu)?;
        let rows = reply.rows.iter().filter_map(|row| serde_json::from_str(&row.row.value).ok());
        Ok(rows.collect())
    }
}

fn full_key(digest: &Name) -> Name {
    format!("config/full/{digest}").into()
}

fn delta_key(base: ConfigVersion, digest: &Name) -> Name {
    format!("config/delta/{base}/{digest}").into()
}

fn audit_key(version: ConfigVersion) -> Name {
    format!("{AUDIT_PREFIX}{:012}", version.0).into()
}

fn row_write<T: Serialize>(key: Name, expect: RowPrecondition, value: &T) -> RowWrite {
    RowWrite { key, expect, value: serde_json::to_string(value).ok() }
}
