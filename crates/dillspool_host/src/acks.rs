//! Which configuration each host has in force, as rows of the platform's table.
//!
//! An apply is called accepted once every host of the list has written its row. See
//! `docs/design/configuration.md`.

use std::collections::BTreeMap;

use dillspool_config::ConfigVersion;
use dillspool_platform::{PlatformError, RowPrecondition, RowWrite, ScanRequest, TableStore};
use dillspool_schema::Name;
use serde::{Deserialize, Serialize};

/// Prefix of the rows.
const ACK_PREFIX: &str = "ack/";
/// Rows read in one scan; more hosts need more pages.
const PAGE_ROWS: usize = 512;

/// A host's word that it acts on a version.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ConfigAck {
    /// The version.
    pub version: ConfigVersion,
    /// Start of the host's process.
    pub incarnation: u64,
}

pub(crate) async fn write_ack(
    table: &TableStore,
    host: &Name,
    ack: &ConfigAck,
) -> Result<(), PlatformError> {
    let write = RowWrite {
        key: format!("{ACK_PREFIX}{host}").into(),
        expect: RowPrecondition::Any,
        value: serde_json::to_string(ack).ok(),
    };
    table.commit(vec![write]).await.map(|_written| ())
}

pub(crate) async fn read_acks(
    table: &TableStore,
) -> Result<BTreeMap<Name, ConfigAck>, PlatformError> {
    let mut acks = BTreeMap::new();
    let mut after: Name = "".into();
    loop {
        let request = ScanRequest { prefix: ACK_PREFIX.into(), after, limit: PAGE_ROWS };
        let reply = (table.scan)(request).await?;
        for scanned in &reply.rows {
            let host = scanned.key.trim_start_matches(ACK_PREFIX);
            if let Ok(ack) = serde_json::from_str(&scanned.row.value) {
                acks.insert(host.into(), ack);
            }
        }
        match reply.rows.last() {
            Some(last) if reply.rows.len() == PAGE_ROWS => after = Name::clone(&last.key),
            _ => return Ok(acks),
        }
    }
}
