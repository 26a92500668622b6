//! Accounting by a single holder: grants, refusals, refunds and retry delays.

use std::time::Duration;

use dillspool_limits::{
    LimitHolder, LimitRate, LocalQuota, RateVersion, SpendDecision, SpendRequest,
};
use dillspool_moment::Moment;

const SLACK: f64 = 1000.0;

fn at(ms: u64) -> Moment {
    Moment::after_origin(Duration::from_millis(ms))
}

fn request(per_s: f64, burst: f64, version: u64, amount: f64) -> SpendRequest {
    SpendRequest {
        subject: "w".into(),
        rate: LimitRate { per_s, burst },
        version: RateVersion::Config(version),
        amount,
        priority: 0,
        unreported: 0.0,
    }
}

/// A holder with one host, which knows that there are no others.
fn holder(slack: f64) -> LimitHolder {
    let mut holder = LimitHolder::new(slack, at(0));
    holder.join(Some(1), at(0));
    holder
}

/// Total amount granted for equal requests at one point in time.
fn granted(holder: &mut LimitHolder, request: &SpendRequest, tries: usize, now: Moment) -> f64 {
    let allowed = (0..tries).filter(|_try| holder.spend(request, now) == SpendDecision::Allowed);
    #[expect(clippy::cast_precision_loss, reason = "a few tries")]
    let allowed = allowed.count() as f64;
    allowed * request.amount
}

struct GrantCase {
    name: &'static str,
    /// Host count reported by the first host that joins.
    reported_hosts: Option<usize>,
    /// Rate, burst and amount.
    limit: (f64, f64, f64),
    /// Time since the holder started to count, in ms.
    after_ms: u64,
    granted: f64,
}

#[test]
fn holder_grants_rate_burst_and_headroom() {
    let case = |name, reported_hosts, limit, after_ms, granted| GrantCase {
        name,
        reported_hosts,
        limit,
        after_ms,
        granted,
    };
    let hundred = (100.0, 100.0, 50.0);
    let cases = [
        // A sixteenth of the slack, and the last request on credit.
        case("a new holder grants little", Some(1), hundred, 1, 100.0),
        case("a second's worth more after a second", Some(1), hundred, 1000, 200.0),
        // Plus a quarter of the burst, since there may be another such holder.
        case("the very first holder", None, (100.0, 400.0, 50.0), 1, 200.0),
        case("the first holder of a fleet of known size", Some(1), (100.0, 400.0, 50.0), 1, 100.0),
        // The burst and three eighths of the slack.
        case("a full balance after a long time", Some(1), hundred, 60_000, 500.0),
        case(
            "a request larger than a full balance",
            Some(1),
            (100.0, 100.0, 5000.0),
            60_000,
            5000.0,
        ),
    ];
    for case in cases {
        let (per_s, burst, amount) = case.limit;
        let mut holder = LimitHolder::new(SLACK, at(0));
        holder.join(case.reported_hosts, at(0));
        let sum = granted(&mut holder, &request(per_s, burst, 1, amount), 100, at(case.after_ms));
        assert!((sum - case.granted).abs() < 1e-6, "{}: {sum}", case.name);
    }
}

#[test]
fn debt_is_paid_off_before_more_is_granted() {
    let mut holder = holder(0.0);
    let large = request(100.0, 100.0, 1, 1100.0);
    assert_eq!(holder.spend(&large, at(1000)), SpendDecision::Allowed);
    // The previous request left a debt of 1000.
    let SpendDecision::Refused { come_back } = holder.spend(&large, at(1000)) else {
        panic!("refused")
    };
    assert!((come_back.as_secs_f64() - 10.01).abs() < 0.01, "{come_back:?}");
    assert!(matches!(holder.spend(&large, at(10_900)), SpendDecision::Refused { .. }));
    assert_eq!(holder.spend(&large, at(11_100)), SpendDecision::Allowed);
}

#[test]
fn refused_requests_get_increasing_retry_delays() {
    let mut holder = holder(0.0);
    let one = request(100.0, 0.0, 1, 100.0);
    assert_eq!(holder.spend(&one, at(1)), SpendDecision::Allowed);
    let mut last = Duration::ZERO;
    for attempt in 0..20_u32 {
        let SpendDecision::Refused { come_back } = holder.spend(&one, at(1)) else {
            panic!("refused")
        };
        assert!(come_back > last + Duration::from_millis(900), "{attempt}: {come_back:?}");
        last = come_back;
    }
    // Delays are capped at half a minute.
    for _try in 0..40 {
        holder.spend(&one, at(1));
    }
    let SpendDecision::Refused { come_back } = holder.spend(&one, at(1)) else { panic!("refused") };
    assert_eq!(come_back, Duration::from_secs(30));
    // Once their time has passed, a new request does not have to wait for them.
    assert_eq!(holder.spend(&one, at(60_000)), SpendDecision::Allowed);
}

#[test]
fn unused_amounts_are_refunded() {
    let mut holder = holder(0.0);
    let one = request(10.0, 100.0, 1, 100.0);
    assert_eq!(holder.spend(&one, at(60_000)), SpendDecision::Allowed);
    assert!(matches!(holder.spend(&one, at(60_000)), SpendDecision::Refused { .. }));
    holder.refund("w", 100.0);
    assert_eq!(holder.spend(&one, at(60_000)), SpendDecision::Allowed);
    // The balance never exceeds the burst.
    for _try in 0..5 {
        holder.refund("w", 100.0);
    }
    assert!((granted(&mut holder, &one, 10, at(60_001)) - 100.0).abs() < 1e-6);
    // Nothing was ever requested from this limit.
    holder.refund("unknown", 100.0);
    assert_eq!(holder.status("unknown"), None);
}

struct ChangeCase {
    name: &'static str,
    before: (f64, u64),
    then: (f64, u64),
    /// Rate in force in the end.
    rate_in_force: f64,
}

#[test]
fn newest_limit_wins_whichever_host_asks() {
    let case = |name, before, then, rate_in_force| ChangeCase { name, before, then, rate_in_force };
    let cases = [
        case("lowered", (100.0, 1), (10.0, 2), 10.0),
        case("raised", (10.0, 1), (100.0, 2), 100.0),
        case("a host that does not know the new limit", (10.0, 2), (100.0, 1), 10.0),
        case("the same version again", (10.0, 2), (10.0, 2), 10.0),
    ];
    for case in cases {
        let mut holder = holder(0.0);
        let (per_s, version) = case.before;
        holder.spend(&request(per_s, per_s, version, 1.0), at(60_000));
        let (per_s, version) = case.then;
        holder.spend(&request(per_s, per_s, version, 1.0), at(60_000));
        let status = holder.status("w").expect("counted");
        assert!((status.rate.per_s - case.rate_in_force).abs() < 1e-6, "{}", case.name);
        assert!(status.balance <= case.rate_in_force, "{}: {}", case.name, status.balance);
    }
}

#[test]
fn holder_leaves_the_shares_of_lost_hosts_ungranted() {
    let mut holder = LimitHolder::new(0.0, at(0));
    for _host in 0..10 {
        holder.join(None, at(0));
    }
    // At startup, another holder may serve as many hosts.
    assert!((holder.granted_share(at(3_900)) - 0.5).abs() < 1e-6);
    assert!((holder.granted_share(at(4_100)) - 1.0).abs() < 1e-6);
    for _host in 0..3 {
        holder.leave(at(10_000));
    }
    assert!((holder.granted_share(at(10_000)) - 0.7).abs() < 1e-6);
    // They may have another holder until their count expires.
    assert!((holder.granted_share(at(69_900)) - 0.7).abs() < 1e-6);
    assert!((holder.granted_share(at(70_100)) - 1.0).abs() < 1e-6);
    holder.join(None, at(71_000));
    assert!((holder.granted_share(at(71_000)) - 1.0).abs() < 1e-6);
}

#[test]
fn reported_host_count_reduces_the_granted_share() {
    let mut alone = holder(0.0);
    alone.record_host_count(50, at(0));
    assert!((alone.granted_share(at(1000)) - 0.02).abs() < 1e-6);
    let mut informed = holder(0.0);
    informed.join(Some(50), at(0));
    assert!((informed.granted_share(at(1000)) - 0.04).abs() < 1e-6);
}

#[test]
fn host_without_holder_spends_its_local_quota_for_a_while() {
    let plain = request(600.0, 600.0, 1, 10.0);
    let large = request(600.0, 600.0, 1, 700.0);
    let mut quota = LocalQuota::new(at(0));
    assert_eq!(quota.spend(&plain, at(0)), None, "it has heard of no holder");
    quota.record_heartbeat(60, at(1000));
    // A sixtieth of 600 a second.
    assert!(matches!(quota.spend(&plain, at(1900)), Some(SpendDecision::Refused { .. })));
    assert_eq!(quota.spend(&plain, at(2100)), Some(SpendDecision::Allowed));
    assert!(matches!(quota.spend(&large, at(8900)), Some(SpendDecision::Refused { .. })));
    assert_eq!(quota.spend(&plain, at(9100)), None, "it was silent for too long");
    // A heartbeat discards what was saved up.
    quota.record_heartbeat(60, at(10_000));
    assert!(matches!(quota.spend(&plain, at(10_100)), Some(SpendDecision::Refused { .. })));
}

struct UnreportedCase {
    name: &'static str,
    per_s: f64,
    /// What hosts sent before they knew of the limit.
    unreported: &'static [f64],
    /// When a request is first granted, in ms after the limit becomes known.
    first_grant_ms: u64,
}

#[test]
fn sends_before_a_limit_was_known_count_against_it() {
    let cases = [
        UnreportedCase { name: "nothing sent", per_s: 5.0, unreported: &[], first_grant_ms: 0 },
        UnreportedCase {
            name: "two seconds' worth",
            per_s: 5.0,
            unreported: &[4.0, 6.0],
            first_grant_ms: 0,
        },
        UnreportedCase {
            name: "three and a half seconds' worth",
            per_s: 4.0,
            unreported: &[5.0, 9.0],
            first_grant_ms: 600,
        },
        UnreportedCase {
            name: "four seconds' worth of a small limit",
            per_s: 0.5,
            unreported: &[2.0],
            first_grant_ms: 1_100,
        },
        // Older sends no longer count.
        UnreportedCase {
            name: "a hundred seconds' worth",
            per_s: 5.0,
            unreported: &[300.0, 200.0],
            first_grant_ms: 3_100,
        },
    ];
    for case in cases {
        let mut holder = LimitHolder::for_backend_servers(at(0));
        holder.join(Some(1), at(0));
        let known = 60_000;
        for unreported in case.unreported {
            let report =
                SpendRequest { unreported: *unreported, ..request(case.per_s, case.per_s, 1, 0.0) };
            assert_eq!(holder.spend(&report, at(known)), SpendDecision::Allowed, "{}", case.name);
        }
        let mut wait = 0;
        let one = request(case.per_s, case.per_s, 1, 1.0);
        while holder.spend(&one, at(known + wait)) != SpendDecision::Allowed {
            wait += 100;
            assert!(wait < 10_000, "{}: never", case.name);
        }
        assert_eq!(wait, case.first_grant_ms, "{}", case.name);
    }
}

#[test]
fn limit_below_one_request_a_second_is_granted_evenly() {
    let mut holder = LimitHolder::for_backend_servers(at(0));
    holder.join(Some(1), at(0));
    let one = request(0.5, 0.5, 1, 1.0);
    let granted: Vec<u64> = (600..1_000)
        .map(|step| step * 100)
        .filter(|ms| holder.spend(&one, at(*ms)) == SpendDecision::Allowed)
        .collect();
    // The initial balance is less than a request, but counts as one.
    assert_eq!(granted.len(), 21, "in 40 s: {granted:?}");
    assert!(granted.windows(2).all(|pair| pair[1] - pair[0] >= 1_000), "{granted:?}");
}

#[test]
fn host_without_holder_spends_its_local_quota_of_backend_limits() {
    for phase in [0.0, 0.5, 0.99] {
        let mut quota = LocalQuota::for_backend_servers(phase, at(0));
        let one = request(4.0, 4.0, 1, 1.0);
        assert_eq!(quota.spend(&one, at(1_000)), None, "no holder has reported a host count");
        quota.record_heartbeat(8, at(2_000));
        let granted = |quota: &mut LocalQuota, from: u64, to: u64| {
            let steps = (from..to).step_by(100);
            steps.filter(|ms| quota.spend(&one, at(*ms)) == Some(SpendDecision::Allowed)).count()
        };
        // An eighth of four a second, for 48 s.
        let sent = granted(&mut quota, 2_100, 50_100);
        assert!((23..=25).contains(&sent), "phase {phase}: {sent}");
        // By then, another holder may grant this share.
        assert_eq!(granted(&mut quota, 53_000, 60_000), 0, "phase {phase}");
    }
}

struct PriorityCase {
    name: &'static str,
    /// Requested rates per second: urgent requests, then the others.
    requested: [u64; 2],
    /// Approximate rate granted to each.
    granted: [f64; 2],
}

/// Refused requests are retried after the delay they were given; new ones arrive meanwhile.
#[test]
fn urgent_requests_go_first_without_starving_others() {
    let cases = [
        PriorityCase { name: "room for all", requested: [4, 4], granted: [4.0, 4.0] },
        PriorityCase { name: "few urgent requests", requested: [2, 40], granted: [2.0, 8.0] },
        PriorityCase {
            name: "as many urgent requests as others",
            requested: [8, 8],
            granted: [8.0, 2.0],
        },
        PriorityCase { name: "too many urgent requests", requested: [40, 40], granted: [9.0, 1.0] },
    ];
    for case in cases {
        let mut holder = LimitHolder::for_backend_servers(at(0));
        holder.join(Some(1), at(0));
        let mut granted = [0.0; 2];
        let mut waiting: Vec<(u64, u32)> = Vec::new();
        for ms in 10_000..70_000_u64 {
            let fresh = (0..2_u32).filter(|priority| {
                let apart = 1_000 / case.requested[*priority as usize];
                (ms + u64::from(*priority) * 7).is_multiple_of(apart)
            });
            let (due, later) = waiting.into_iter().partition(|(due, _priority)| *due <= ms);
            waiting = later;
            let due: Vec<(u64, u32)> = due;
            for priority in due.into_iter().map(|(_due, priority)| priority).chain(fresh) {
                let one = SpendRequest { priority, ..request(10.0, 10.0, 1, 1.0) };
                match holder.spend(&one, at(ms)) {
                    SpendDecision::Allowed => granted[priority as usize] += 1.0 / 60.0,
                    // Requests with a delay of a second or more go elsewhere.
                    SpendDecision::Refused { come_back } if come_back.as_millis() < 1_000 => {
                        waiting
                            .push((ms + u64::try_from(come_back.as_millis()).unwrap(), priority));
                    }
                    SpendDecision::Refused { .. } => {}
                }
            }
        }
        for (got, expected) in granted.into_iter().zip(case.granted) {
            assert!((got - expected).abs() <= 0.6, "{}: {granted:?}", case.name);
        }
    }
}
