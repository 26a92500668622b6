//! Decodes the configuration row and puts it in force.

use std::sync::Arc;

use dillspool_platform::StoreVersion;
use dillspool_routing::{RoutingConfig, WorkspaceTable};
use dillspool_watch::TableReplica;
use tokio::sync::watch;

use crate::site::SiteProtocol;
use crate::unreadable_rows::UnreadableRows;

/// Puts each newer configuration in force as a whole, until the replica is closed.
///
/// If a configuration cannot be decoded, the last valid one stays in force.
pub async fn track_config(
    site: SiteProtocol,
    mut replica: watch::Receiver<TableReplica>,
    unreadable: UnreadableRows,
    config: watch::Sender<Option<Arc<RoutingConfig>>>,
) {
    let (table, key) = &site.config_row;
    let mut last_version = StoreVersion::default();
    loop {
        let row = replica.borrow_and_update().rows.get(key).cloned();
        if let Some(row) = row
            && row.version > last_version
            && let Some(text) = row.value
        {
            last_version = row.version;
            match (site.decode_config)(&text) {
                Ok(decoded) => apply(decoded, row.version, &config),
                Err(cause) => unreadable.record(table, key, row.version, &cause),
            }
        }
        if replica.changed().await.is_err() {
            return;
        }
    }
}

fn apply(
    decoded: RoutingConfig,
    row_version: StoreVersion,
    config: &watch::Sender<Option<Arc<RoutingConfig>>>,
) {
    let before = config.borrow().as_ref().map(|config| config.version);
    if before.is_some_and(|before| before >= decoded.version) {
        log::info!("event=config_older version={} before={before:?}", decoded.version);
        return;
    }
    log::info!(
        "event=config_applied version={} row={row_version} before={} routes={} workspaces={}",
        decoded.version,
        before.unwrap_or(0),
        decoded.routes.len(),
        decoded.workspaces.as_ref().map_or(0, WorkspaceTable::len),
    );
    config.send_replace(Some(Arc::new(decoded)));
}
