//! One holder's account: what is granted, refused, given back, and when to come back.

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

/// A holder that one host asks, which knows that there are no others.
fn holder(slack: f64) -> LimitHolder {
    let mut holder = LimitHolder::new(slack, at(0));
    holder.join(Some(1), at(0));
    holder
}

/// Amounts granted of many equal requests at one moment.
fn granted(holder: &mut LimitHolder, request: &SpendRequest, tries: usize, now: Moment) -> f64 {
    let allowed = (0..tries).filter(|_try| holder.spend(request, now) == SpendDecision::Allowed);
    #[expect(clippy::cast_precision_loss, reason = "a few tries")]
    let allowed = allowed.count() as f64;
    allowed * request.amount
}

struct GrantCase {
    name: &'static str,
    /// Hosts that the first one that asks knows of.
    told: Option<usize>,
    /// Rate, burst and amount.
    limit: (f64, f64, f64),
    /// Time since the holder began to count, in ms.
    after_ms: u64,
    granted: f64,
}

#[test]
fn a_holder_grants_the_rate_the_burst_and_some_headroom() {
    let case =
        |name, told, limit, after_ms, granted| GrantCase { name, told, limit, after_ms, granted };
    let hundred = (100.0, 100.0, 50.0);
    let cases = [
        // A sixteenth of the slack, and the last one on credit.
        case("a new holder grants a little", Some(1), hundred, 1, 100.0),
        case("after a second, a second's worth more", Some(1), hundred, 1000, 200.0),
        // A quarter of the burst beside it, since there may be another such holder.
        case("the first holder of all", None, (100.0, 400.0, 50.0), 1, 200.0),
        case("and of a fleet that is known", Some(1), (100.0, 400.0, 50.0), 1, 100.0),
        // The burst and three eighths of the slack.
        case("after long, all that is kept", Some(1), hundred, 60_000, 500.0),
        case("a request above all of that", Some(1), (100.0, 100.0, 5000.0), 60_000, 5000.0),
    ];
    for case in cases {
        let (per_s, burst, amount) = case.limit;
        let mut holder = LimitHolder::new(SLACK, at(0));
        holder.join(case.told, at(0));
        let sum = granted(&mut holder, &request(per_s, burst, 1, amount), 100, at(case.after_ms));
        assert!((sum - case.granted).abs() < 1e-6, "{}: {sum}", case.name);
    }
}

#[test]
fn a_debt_is_paid_before_more_is_granted() {
    let mut holder = holder(0.0);
    let large = request(100.0, 100.0, 1, 1100.0);
    assert_eq!(holder.spend(&large, at(1000)), SpendDecision::Allowed);
    // It left a debt of 1000.
    let SpendDecision::Refused { come_back } = holder.spend(&large, at(1000)) else {
        panic!("refused")
    };
    assert!((come_back.as_secs_f64() - 10.01).abs() < 0.01, "{come_back:?}");
    assert!(matches!(holder.spend(&large, at(10_900)), SpendDecision::Refused { .. }));
    assert_eq!(holder.spend(&large, at(11_100)), SpendDecision::Allowed);
}

#[test]
fn those_who_are_refused_are_told_to_come_one_after_another() {
    let mut holder = holder(0.0);
    let one = request(100.0, 0.0, 1, 100.0);
    assert_eq!(holder.spend(&one, at(1)), SpendDecision::Allowed);
    let mut last = Duration::ZERO;
    for turn in 0..20_u32 {
        let SpendDecision::Refused { come_back } = holder.spend(&one, at(1)) else {
            panic!("refused")
        };
        assert!(come_back > last + Duration::from_millis(900), "{turn}: {come_back:?}");
        last = come_back;
    }
    // Beyond half a minute nothing is promised more precisely.
    for _turn in 0..40 {
        holder.spend(&one, at(1));
    }
    let SpendDecision::Refused { come_back } = holder.spend(&one, at(1)) else { panic!("refused") };
    assert_eq!(come_back, Duration::from_secs(30));
    // Their time passes; a caller that comes after it is not told to wait for them.
    assert_eq!(holder.spend(&one, at(60_000)), SpendDecision::Allowed);
}

#[test]
fn what_did_not_run_is_given_back() {
    let mut holder = holder(0.0);
    let one = request(10.0, 100.0, 1, 100.0);
    assert_eq!(holder.spend(&one, at(60_000)), SpendDecision::Allowed);
    assert!(matches!(holder.spend(&one, at(60_000)), SpendDecision::Refused { .. }));
    holder.refund("w", 100.0);
    assert_eq!(holder.spend(&one, at(60_000)), SpendDecision::Allowed);
    // More than the burst is never kept.
    for _turn in 0..5 {
        holder.refund("w", 100.0);
    }
    assert!((granted(&mut holder, &one, 10, at(60_001)) - 100.0).abs() < 1e-6);
    // Nobody has asked for this one.
    holder.refund("unknown", 100.0);
    assert_eq!(holder.status("unknown"), None);
}

struct ChangeCase {
    name: &'static str,
    before: (f64, u64),
    then: (f64, u64),
    /// Rate that holds in the end.
    holds: f64,
}

#[test]
fn the_newest_limit_holds_whoever_asks() {
    let case = |name, before, then, holds| ChangeCase { name, before, then, holds };
    let cases = [
        case("lowered", (100.0, 1), (10.0, 2), 10.0),
        case("raised", (10.0, 1), (100.0, 2), 100.0),
        case("a host that has not heard of it", (10.0, 2), (100.0, 1), 10.0),
        case("a word of the same version", (10.0, 2), (10.0, 2), 10.0),
    ];
    for case in cases {
        let mut holder = holder(0.0);
        let (per_s, version) = case.before;
        holder.spend(&request(per_s, per_s, version, 1.0), at(60_000));
        let (per_s, version) = case.then;
        holder.spend(&request(per_s, per_s, version, 1.0), at(60_000));
        let reading = holder.status("w").expect("counted");
        assert!((reading.rate.per_s - case.holds).abs() < 1e-6, "{}", case.name);
        assert!(reading.balance <= case.holds, "{}: {}", case.name, reading.balance);
    }
}

#[test]
fn a_holder_leaves_their_parts_to_hosts_that_it_lost() {
    let mut holder = LimitHolder::new(0.0, at(0));
    for _host in 0..10 {
        holder.join(None, at(0));
    }
    // At the start as many hosts again may ask another one.
    assert!((holder.granted_share(at(3_900)) - 0.5).abs() < 1e-6);
    assert!((holder.granted_share(at(4_100)) - 1.0).abs() < 1e-6);
    for _host in 0..3 {
        holder.leave(at(10_000));
    }
    assert!((holder.granted_share(at(10_000)) - 0.7).abs() < 1e-6);
    // They may have another holder, as long as nobody takes them for gone.
    assert!((holder.granted_share(at(69_900)) - 0.7).abs() < 1e-6);
    assert!((holder.granted_share(at(70_100)) - 1.0).abs() < 1e-6);
    holder.join(None, at(71_000));
    assert!((holder.granted_share(at(71_000)) - 1.0).abs() < 1e-6);
}

#[test]
fn a_host_that_others_have_told_of_does_not_count_itself_alone() {
    let mut alone = holder(0.0);
    alone.record_host_count(50, at(0));
    assert!((alone.granted_share(at(1000)) - 0.02).abs() < 1e-6);
    let mut told = holder(0.0);
    told.join(Some(50), at(0));
    assert!((told.granted_share(at(1000)) - 0.04).abs() < 1e-6);
}

#[test]
fn a_host_without_its_holder_spends_its_own_part_for_a_while() {
    let plain = request(600.0, 600.0, 1, 10.0);
    let large = request(600.0, 600.0, 1, 700.0);
    let mut parts = LocalQuota::new(at(0));
    assert_eq!(parts.spend(&plain, at(0)), None, "it has heard of no holder");
    parts.record_heartbeat(60, at(1000));
    // A sixtieth of 600 a second.
    assert!(matches!(parts.spend(&plain, at(1900)), Some(SpendDecision::Refused { .. })));
    assert_eq!(parts.spend(&plain, at(2100)), Some(SpendDecision::Allowed));
    assert!(matches!(parts.spend(&large, at(8900)), Some(SpendDecision::Refused { .. })));
    assert_eq!(parts.spend(&plain, at(9100)), None, "it was silent for too long");
    // A word again ends what was saved.
    parts.record_heartbeat(60, at(10_000));
    assert!(matches!(parts.spend(&plain, at(10_100)), Some(SpendDecision::Refused { .. })));
}

struct BeforeCase {
    name: &'static str,
    per_s: f64,
    /// What the hosts have sent before they knew of the limit.
    before: &'static [f64],
    /// When a request is granted for the first time, in ms after the limit is known.
    first: u64,
}

#[test]
fn what_was_sent_before_a_limit_was_known_counts_against_it() {
    let cases = [
        BeforeCase { name: "nothing", per_s: 5.0, before: &[], first: 0 },
        BeforeCase { name: "two seconds' worth", per_s: 5.0, before: &[4.0, 6.0], first: 0 },
        BeforeCase { name: "three and a half", per_s: 4.0, before: &[5.0, 9.0], first: 600 },
        BeforeCase { name: "four, of a small limit", per_s: 0.5, before: &[2.0], first: 1_100 },
        // What was sent earlier counts nowhere any more.
        BeforeCase { name: "a hundred", per_s: 5.0, before: &[300.0, 200.0], first: 3_100 },
    ];
    for case in cases {
        let mut holder = LimitHolder::for_backend_servers(at(0));
        holder.join(Some(1), at(0));
        let known = 60_000;
        for before in case.before {
            let told =
                SpendRequest { unreported: *before, ..request(case.per_s, case.per_s, 1, 0.0) };
            assert_eq!(holder.spend(&told, at(known)), SpendDecision::Allowed, "{}", case.name);
        }
        let mut wait = 0;
        let one = request(case.per_s, case.per_s, 1, 1.0);
        while holder.spend(&one, at(known + wait)) != SpendDecision::Allowed {
            wait += 100;
            assert!(wait < 10_000, "{}: never", case.name);
        }
        assert_eq!(wait, case.first, "{}", case.name);
    }
}

#[test]
fn a_limit_below_one_request_a_second_is_granted_in_turn() {
    let mut holder = LimitHolder::for_backend_servers(at(0));
    holder.join(Some(1), at(0));
    let one = request(0.5, 0.5, 1, 1.0);
    let granted: Vec<u64> = (600..1_000)
        .map(|step| step * 100)
        .filter(|ms| holder.spend(&one, at(*ms)) == SpendDecision::Allowed)
        .collect();
    // The balance that it begins with is less than a request, and counts for one.
    assert_eq!(granted.len(), 21, "in 40 s: {granted:?}");
    assert!(granted.windows(2).all(|pair| pair[1] - pair[0] >= 1_000), "{granted:?}");
}

#[test]
fn a_host_without_its_holder_sends_its_part_to_backend_servers() {
    for phase in [0.0, 0.5, 0.99] {
        let mut parts = LocalQuota::for_backend_servers(phase, at(0));
        let one = request(4.0, 4.0, 1, 1.0);
        assert_eq!(parts.spend(&one, at(1_000)), None, "nobody has told it of others");
        parts.record_heartbeat(8, at(2_000));
        let granted = |parts: &mut LocalQuota, from: u64, to: u64| {
            let steps = (from..to).step_by(100);
            steps.filter(|ms| parts.spend(&one, at(*ms)) == Some(SpendDecision::Allowed)).count()
        };
        // An eighth of four a second, for 48 s.
        let sent = granted(&mut parts, 2_100, 50_100);
        assert!((23..=25).contains(&sent), "phase {phase}: {sent}");
        // Another holder may grant its part by then.
        assert_eq!(granted(&mut parts, 53_000, 60_000), 0, "phase {phase}");
    }
}

struct RankCase {
    name: &'static str,
    /// Requests a second that are asked for, the urgent and the others.
    asked: [u64; 2],
    /// What each gets a second, about.
    granted: [f64; 2],
}

/// A request that was refused comes back when it was told to, and until then others come.
#[test]
fn the_urgent_go_first_and_do_not_take_all() {
    let cases = [
        RankCase { name: "room for all", asked: [4, 4], granted: [4.0, 4.0] },
        RankCase { name: "few that are urgent", asked: [2, 40], granted: [2.0, 8.0] },
        RankCase { name: "as many", asked: [8, 8], granted: [8.0, 2.0] },
        RankCase { name: "too many that are urgent", asked: [40, 40], granted: [9.0, 1.0] },
    ];
    for case in cases {
        let mut holder = LimitHolder::for_backend_servers(at(0));
        holder.join(Some(1), at(0));
        let mut granted = [0.0; 2];
        let mut waiting: Vec<(u64, u32)> = Vec::new();
        for ms in 10_000..70_000_u64 {
            let fresh = (0..2_u32).filter(|rank| {
                let apart = 1_000 / case.asked[*rank as usize];
                (ms + u64::from(*rank) * 7).is_multiple_of(apart)
            });
            let (due, later) = waiting.into_iter().partition(|(due, _rank)| *due <= ms);
            waiting = later;
            let due: Vec<(u64, u32)> = due;
            for rank in due.into_iter().map(|(_due, rank)| rank).chain(fresh) {
                let one = SpendRequest { priority: rank, ..request(10.0, 10.0, 1, 1.0) };
                match holder.spend(&one, at(ms)) {
                    SpendDecision::Allowed => granted[rank as usize] += 1.0 / 60.0,
                    // Whoever would wait for longer than a second goes elsewhere.
                    SpendDecision::Refused { come_back } if come_back.as_millis() < 1_000 => {
                        waiting.push((ms + u64::try_from(come_back.as_millis()).unwrap(), rank));
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
