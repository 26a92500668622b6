//! Host that routes requests on a prepared platform.
//!
//! The protocol of a site is passed in as a [`SiteProtocol`] of functions and closures; see
//! `docs/design/platform_site.md`.

mod call_metrics;
mod caller_gate;
mod caller_server;
mod config_tracker;
mod daemon;
mod departed_backends;
mod directory_tracker;
mod drained_domains;
mod fleet_tasks;
mod gone_hosts;
mod held_metrics;
mod holder_probes;
mod host_rows;
mod host_trackers;
mod ingress;
mod link_metrics;
mod memory_limits;
mod notice_publisher;
mod origin_metrics;
mod origin_publisher;
mod peer_list;
mod place_takeover;
mod policy;
mod request_body;
mod retry_detector;
mod settings;
mod site;
mod sources;
mod status;
mod store_metrics;
mod store_replicas;
mod suspect_metrics;
mod suspect_rows;
mod throttle_metrics;
mod unreadable_rows;
mod version_check;
mod version_rows;

pub use config_tracker::track_config;
pub use daemon::{RouterDaemon, RouterError};
pub use directory_tracker::{DirectorySettings, DirectorySources, track_directory};
pub use gone_hosts::{HostProbes, StoredHost};
pub use ingress::{IngressState, KnownConfig};
pub use policy::PolicyConfig;
pub use retry_detector::RetryDetector;
pub use settings::{RouterConfig, SettingsError, SettingsWatch, load_settings};
pub use site::SiteProtocol;
pub use sources::{
    HostRow, SourcePlan, count_hosts, full_replica_hosts, plan_initial_sources, plan_sources,
    should_register,
};
pub use unreadable_rows::UnreadableRows;
