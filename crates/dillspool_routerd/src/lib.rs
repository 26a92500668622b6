//! Connects the router to the protocol of a prepared platform.

use dillspool_dialer::BackendDialer;
use dillspool_io::{HostClock, HttpClient, NetStack};
use dillspool_leaving::LeavingTracker;
use dillspool_router::{RouterConfig, SiteProtocol};
use dillspool_throttle::ThrottleTracker;

/// Builds the protocol that the router uses to reach the prepared platform over `stack`.
pub fn prepared_platform(
    stack: &NetStack,
    config: &RouterConfig,
    clock: &HostClock,
) -> SiteProtocol {
    let http = HttpClient::pooled(stack);
    let throttle = ThrottleTracker::new(clock.clone());
    let leaving = LeavingTracker::new(clock.clone());
    let dialer = BackendDialer::new(stack, clock);
    SiteProtocol {
        extract_metadata: dillspool_site::extract_metadata,
        set_request_id: dillspool_site::set_request_id,
        decode_config: dillspool_site::decode_config,
        decode_backend: dillspool_site::decode_backend,
        drained_domain: dillspool_site::drained_domain,
        config_row: (dillspool_site::CONFIG_TABLE.into(), dillspool_site::CONFIG_KEY.into()),
        directory_table: dillspool_site::DIRECTORY_TABLE.into(),
        own_table: dillspool_site::OWN_TABLE.into(),
        calls: dillspool_site::backend_calls(&dialer, &throttle, &leaving),
        dialer,
        throttle,
        leaving,
        watch: dillspool_site::table_watch(&http, config.store, config.store_timeout),
        store: dillspool_site::table_store(&http, config.store, config.store_timeout),
        label: "prepared platform".into(),
    }
}
