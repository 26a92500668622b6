//! Stores configurations in the platform's table and object store.
//!
//! The row `config/head` is the only commit record. It holds the version, digest and base, and
//! changes only by compare-and-set, in one transaction with the audit row of the change. See
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
/// Key prefix of the audit rows. The version follows with a fixed width, so that keys sort by
/// version.
const AUDIT_PREFIX: &str = "audit/";
/// Commit attempts before a commit of unknown outcome is reported to the operator as such.
const MAX_COMMIT_ATTEMPTS: u32 = 20;
/// Delay between commit attempts.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The commit record of the newest configuration.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ConfigHead {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Digest of the whole configuration.
    pub digest: Name,
    /// Base version of the stored delta; 0 if there is none.
    pub base: ConfigVersion,
    /// Unique token of the apply attempt that wrote the record.
    pub token: Name,
    /// Operator who applied the configuration.
    pub operator: Name,
}

/// One row of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct AuditRow {
    /// Operator who made the change.
    pub operator: Name,
    /// Time of the change.
    pub at: UnixMillis,
    /// Version before the change.
    pub from: ConfigVersion,
    /// Version after the change.
    pub to: ConfigVersion,
    /// Unique token of the apply attempt.
    pub token: Name,
    /// Summary of the change, one line per entry.
    pub changes: Vec<String>,
}

/// Result of applying a configuration.
#[derive(Clone, Debug)]
pub struct AppliedConfig {
    /// Version of the configuration after the call.
    pub version: ConfigVersion,
    /// Summary of the changes, one line per entry; empty when the configuration is unchanged.
    pub changes: Vec<String>,
}

/// Why a configuration was not applied.
#[derive(Debug, Snafu)]
pub enum ApplyError {
    /// Another operator's change was committed first.
    #[snafu(display(
        "version {version} by `{winner}` was committed first; review it with `dillspool diff`, then apply again"
    ))]
    LostRace {
        /// Operator whose change was committed.
        winner: Name,
        /// Version in the table.
        version: ConfigVersion,
    },
    /// The platform rejected the call or couldn't be reached.
    #[snafu(display("the configuration was not changed: {source}"))]
    NotApplied {
        /// The platform's error.
        source: PlatformError,
    },
    /// The outcome of the commit is unknown.
    #[snafu(display(
        "cannot determine whether version {version} took effect; check `dillspool status`"
    ))]
    Unclear {
        /// Version that was to be committed.
        version: ConfigVersion,
    },
    /// The stored configuration is missing, malformed or has the wrong digest.
    #[snafu(display("the stored configuration cannot be read: {reason}; restore the object"))]
    Corrupt {
        /// Which check failed.
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
    /// Creates a store backed by the platform's table and object store.
    pub fn new(table: TableStore, objects: ObjectStore, clock: WallClock) -> Self {
        Self { table, objects, clock }
    }

    /// Reads the newest commit record; `None` before the first commit.
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

    /// Reads the configuration that a commit record refers to, as a delta if `current` is its base.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] when the store does not answer or the digest differs.
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
        let text = self.get_object(full_key(&head.digest)).await?;
        let Some(text) = text else {
            return CorruptSnafu {
                reason: format!("object with digest {} is missing", head.digest),
            }
            .fail();
        };
        let configuration = match serde_json::from_str(&text) {
            Ok(configuration) => configuration,
            Err(error) => {
                return CorruptSnafu { reason: error.to_string() }.fail();
            }
        };
        let snapshot = ConfigSnapshot::new(head.version, configuration);
        if snapshot.digest != head.digest {
            return CorruptSnafu {
                reason: format!("digest mismatch for version {}", head.version),
            }
            .fail();
        }
        Ok(snapshot)
    }

    /// Reads and applies the delta. `None` if it is missing, malformed or leads to another digest, in which case the
    /// caller falls back to the full configuration.
    async fn fetch_delta(
        &self,
        head: &ConfigHead,
        current: &ConfigSnapshot,
    ) -> Result<Option<ConfigSnapshot>, ApplyError> {
        let Some(text) = self.get_object(delta_key(head.base, &head.digest)).await? else {
            return Ok(None);
        };
        let Ok(delta) = serde_json::from_str::<ConfigDelta>(&text) else {
            return Ok(None);
        };
        let snapshot = ConfigSnapshot::new(head.version, delta.apply(&current.configuration));
        Ok((snapshot.digest == head.digest).then_some(snapshot))
    }

    async fn get_object(&self, key: Name) -> Result<Option<String>, ApplyError> {
        let reply = (self.objects.get)(key).await.context(NotAppliedSnafu)?;
        Ok(reply.text)
    }

    /// Commits a configuration as the version after `expected`.
    ///
    /// Without `expected`, the change is based on the newest version at the time of the read. `token`
    /// identifies this attempt and must never be reused.
    ///
    /// # Errors
    ///
    /// [`ApplyError::LostRace`] with the operator whose change was committed first, and the other
    /// variants when the store fails.
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
            delta.map_or_else(|| vec!["+ first version".to_owned()], |delta| delta.summary_lines());
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

    /// Rewrites the configuration in use if the store lost it when it was restored from an older snapshot. Returns
    /// whether it had to.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] when the store does not answer, or an operator's change was committed first.
    pub async fn restore(&self, current: &ConfigSnapshot) -> Result<bool, ApplyError> {
        let before = self.head_row().await?;
        let from = before.as_ref().map_or(ConfigVersion(0), |row| row.head.version);
        if from >= current.version {
            return Ok(false);
        }
        let ConfigSnapshot { version: to, digest, .. } = current;
        self.put_objects(from, digest, &current.configuration, None).await?;
        let row_version = before.as_ref().map(|row| row.row_version).unwrap_or_default();
        // The token is deterministic, so that all hosts which restore this row write the same token.
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

    /// Commits the head and its audit row. If the outcome is unknown, it retries with the same
    /// precondition, which can succeed only once, and identifies its own commit by the token.
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
        let mut may_be_committed = false;
        for attempt in 0..MAX_COMMIT_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(COMMIT_RETRY_DELAY).await;
            }
            match self.table.commit(writes.clone()).await {
                Ok(CommitReply::Committed) => return Ok(()),
                Ok(CommitReply::Conflict(_)) => {
                    if let Ok(outcome) = self.resolve_conflict(head).await {
                        return outcome;
                    }
                    may_be_committed = true;
                }
                Err(PlatformError::Unknown { .. }) => may_be_committed = true,
                Err(source @ PlatformError::NotDone { .. }) if !may_be_committed => {
                    return Err(ApplyError::NotApplied { source });
                }
                Err(PlatformError::NotDone { .. }) => {}
            }
        }
        UnclearSnafu { version: head.version }.fail()
    }

    /// Reads the audit row of the version after a conflict, to learn whether this attempt or another one
    /// committed it.
    async fn resolve_conflict(
        &self,
        head: &ConfigHead,
    ) -> Result<Result<(), ApplyError>, PlatformError> {
        let row = self.table.read_one(audit_key(head.version)).await?;
        let audit = row.and_then(|row| serde_json::from_str::<AuditRow>(&row.value).ok());
        Ok(match audit {
            Some(audit) if audit.token == head.token => Ok(()),
            Some(audit) => LostRaceSnafu { winner: audit.operator, version: audit.to }.fail(),
            None => {
                CorruptSnafu { reason: format!("audit row of version {} is missing", head.version) }
                    .fail()
            }
        })
    }

    /// Reads the newest `limit` audit rows after a version, oldest first.
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
