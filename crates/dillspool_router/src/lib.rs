//! The host that routes requests on a prepared platform, put together from its parts.
//!
//! A site's protocol comes in as a [`SiteProtocol`] of closures; see
//! `docs/design/platform_site.md`.

mod belief_metrics;
mod beliefs;
mod call_metrics;
mod config_tracker;
mod daemon;
mod departed;
mod directory_tracker;
mod drained_domains;
mod fleet_duties;
mod held_metrics;
mod host_rows;
mod ingress;
mod memory_terms;
mod notice_keeper;
mod peer_list;
mod policy;
mod receiving;
mod retry_detector;
mod settings;
mod site;
mod sources;
mod status;
mod suspect_metrics;
mod suspect_rows;
mod throttle_metrics;
mod unreadable_rows;

pub use config_tracker::track_config;
pub use daemon::{RouterDaemon, RouterError};
pub use directory_tracker::{DirectorySettings, DirectorySources, track_directory};
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
