//! Rows of the hosts that are registered in the store.

use dillspool_io::LinkMode;
use dillspool_site::OWN_TABLE;

use super::{FleetOptions, TestFleet, node};

impl TestFleet {
    /// Writes the rows of hosts that are gone.
    pub(super) fn write_gone_hosts(&self, hosts: usize, options: &FleetOptions) {
        for domain in 0..options.failure_domains.max(1) {
            for number in 0..options.gone_hosts {
                let ip = node(4, domain * options.gone_hosts + number);
                let failure_domain = match options.failure_domains {
                    0 => "domain".to_owned(),
                    _ => format!("domain-{domain}"),
                };
                let row = format!(
                    r#"{{"peers":"{ip}:8146","schedule":"{ip}:7661","failure_domain":"{failure_domain}","link_mbps":100.0}}"#,
                );
                self.store.write(OWN_TABLE, &format!("hosts/gone-{domain}-{number}"), Some(&row));
                let mode = if options.gone_refuse { LinkMode::Cut } else { LinkMode::Frozen };
                for host in 0..hosts {
                    self.net.set_link(node(1, host), ip, mode);
                }
            }
        }
    }

    /// Returns the names of the hosts that have a row in the store.
    pub fn registered_hosts(&self) -> Vec<String> {
        let keys = self.store.keys(OWN_TABLE);
        keys.iter().filter_map(|key| key.strip_prefix("hosts/")).map(str::to_owned).collect()
    }
}
