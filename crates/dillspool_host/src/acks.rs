//! Rows of the platform's table that record which configuration version each host has active.
//!
//! A version counts as accepted once every host of the list has written its row. See
//! `docs/design/configuration.md`.

use std::collections::BTreeMap;

use dillspool_config::ConfigVersion;
use dillspool_platform::{PlatformError, RowPrecondition, RowWrite, ScanRequest, TableStore};
use dillspool_schema::Name;
use serde::{Deserialize, Serialize};

/// Key prefix of the rows.
const ACK_PREFIX: &str = "ack/";
/// Rows per scan; with more hosts than that, several pages are read.
const SCAN_PAGE_ROWS: usize = 512;

/// A host's acknowledgement that a version is active on it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ConfigAck {
    /// The active version.
    pub version: ConfigVersion,
    /// Incarnation of the host: start time of its process.
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
        let request = ScanRequest { prefix: ACK_PREFIX.into(), after, limit: SCAN_PAGE_ROWS };
        let reply = (table.scan)(request).await?;
        for scanned in &reply.rows {
            let host = scanned.key.trim_start_matches(ACK_PREFIX);
            if let Ok(ack) = serde_json::from_str(&scanned.row.value) {
                acks.insert(host.into(), ack);
            }
        }
        match reply.rows.last() {
            Some(last) if reply.rows.len() == SCAN_PAGE_ROWS => after = Name::clone(&last.key),
            _ => return Ok(acks),
        }
    }
}
