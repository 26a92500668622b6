//! Validates that the sections of a configuration are consistent.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use dillspool_keys::HASH_LENGTH;
use dillspool_schema::configuration::{BackendEntry, BackendRole, Configuration, GroupEntry};

use crate::ConfigError;

/// Highest priority number; a small number of classes keeps the starvation bound low.
const MAX_PRIORITY: u32 = 7;
/// Highest weight or percentage.
const MAX_PERCENT: u32 = 100;

type CheckFn = fn(&Configuration, &mut Vec<String>);

/// Checks that each append their problems. All of them run, so that one pass reports every problem.
const CHECKS: [CheckFn; 6] =
    [check_policy, check_groups, check_keys, check_pools, check_backends, check_routes];

/// Validates a whole configuration.
///
/// # Errors
///
/// [`ConfigError::Invalid`] with every problem and its remedy.
pub fn check_configuration(path: &str, configuration: &Configuration) -> Result<(), ConfigError> {
    let mut problems = Vec::new();
    for check in CHECKS {
        check(configuration, &mut problems);
    }
    if problems.is_empty() {
        return Ok(());
    }
    Err(ConfigError::Invalid { path: path.to_owned(), problems })
}

fn check_unique<'a>(what: &str, names: impl Iterator<Item = &'a str>, problems: &mut Vec<String>) {
    let mut seen = BTreeSet::new();
    for name in names {
        if name.is_empty() {
            problems.push(format!("a {what} has an empty name: give it one"));
        }
        if !seen.insert(name) {
            problems.push(format!("{what} `{name}` is declared twice: rename or remove one"));
        }
    }
}

fn check_policy(configuration: &Configuration, problems: &mut Vec<String>) {
    if configuration.policy.goodput_weight > MAX_PERCENT {
        problems.push("policy.goodput_weight is over 100: give 0 to 100".to_owned());
    }
    if configuration.policy.retry_percent > MAX_PERCENT {
        problems.push("policy.retry_percent is over 100: give 0 to 100".to_owned());
    }
}

fn check_groups(configuration: &Configuration, problems: &mut Vec<String>) {
    check_unique("group", configuration.group.iter().map(|group| &*group.name), problems);
    for group in &configuration.group {
        check_group(group, problems);
    }
}

fn check_group(group: &GroupEntry, problems: &mut Vec<String>) {
    let name = &group.name;
    if group.share == 0 {
        problems.push(format!("group `{name}` has share 0: give at least 1"));
    }
    if group.priority > MAX_PRIORITY {
        problems.push(format!("group `{name}` has a priority over {MAX_PRIORITY}: give 0 to 7"));
    }
    if group.first_token_ms == 0 || group.per_token_ms == 0 {
        problems.push(format!("group `{name}` has a target of 0 ms: give at least 1"));
    }
}

fn check_keys(configuration: &Configuration, problems: &mut Vec<String>) {
    let hashes = configuration.group.iter().flat_map(|group| &group.key_hashes);
    check_unique("caller key hash", hashes.clone().map(|hash| &**hash), problems);
    for hash in hashes {
        let hexadecimal = hash.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if hash.len() != HASH_LENGTH || !hexadecimal {
            problems.push(format!(
                "`{hash}` is not a key hash: use the output of `dillspool hash-key`"
            ));
        }
    }
}

fn check_pools(configuration: &Configuration, problems: &mut Vec<String>) {
    check_unique("pool", configuration.pool.iter().map(|pool| &*pool.name), problems);
    for pool in &configuration.pool {
        for role in [BackendRole::Prefill, BackendRole::Decode] {
            let served = configuration
                .backend
                .iter()
                .any(|backend| backend.pool == pool.name && backend.role == role);
            if !served {
                problems.push(format!(
                    "pool `{}` has no {role} engine: declare a [[backend]] with this role and pool",
                    pool.name
                ));
            }
        }
        if pool.kv_lifetime_ms == 0 {
            problems.push(format!("pool `{}` has kv_lifetime_ms 0: give at least 1", pool.name));
        }
    }
}

fn check_backends(configuration: &Configuration, problems: &mut Vec<String>) {
    let names = configuration.backend.iter().map(|backend| &*backend.name);
    check_unique("backend server", names, problems);
    for backend in &configuration.backend {
        check_backend(configuration, backend, problems);
    }
}

fn check_backend(
    configuration: &Configuration,
    backend: &BackendEntry,
    problems: &mut Vec<String>,
) {
    let name = &backend.name;
    if backend.address.parse::<SocketAddr>().is_err() {
        problems.push(format!(
            "backend server `{name}` has address `{}`: give IP number and port, as 10.0.0.7:8000",
            backend.address
        ));
    }
    let is_engine = backend.role != BackendRole::Plain;
    let has_pool = configuration.pool.iter().any(|pool| pool.name == backend.pool);
    if is_engine && !has_pool {
        problems.push(format!(
            "backend server `{name}` belongs to pool `{}`, which is not declared: add a [[pool]]",
            backend.pool
        ));
    }
    if backend.slots == 0 || backend.prefill_tokens_per_s == 0 || backend.link_bytes_per_s == 0 {
        problems.push(format!("backend server `{name}` has a size of 0: give at least 1"));
    }
}

fn check_routes(configuration: &Configuration, problems: &mut Vec<String>) {
    check_unique("route", configuration.route.iter().map(|route| &*route.prefix), problems);
    for route in &configuration.route {
        let prefix = &route.prefix;
        if !prefix.starts_with('/') || prefix.starts_with("/v1/") {
            problems.push(format!(
                "route `{prefix}` must start with `/` and stay outside `/v1/`: change the prefix"
            ));
        }
        let served = configuration
            .backend
            .iter()
            .any(|backend| backend.role == BackendRole::Plain && backend.pool == route.service);
        if !served {
            problems.push(format!(
                "route `{prefix}` goes to service `{}`, which has no plain backend server: declare one",
                route.service
            ));
        }
    }
}
