//! Tests of the division of file descriptors among their uses.

use front::descriptors::DescriptorShares;
use front::descriptors::MIN_DESCRIPTORS;
use front::descriptors::MIN_SHARE;
use front::descriptors::limit;
use front::settings::Settings;
use proptest::prelude::*;

/// Descriptors that a process needs without any connection.
const OWN: usize = 20;

proptest! {
    // Guards against shares that add up to more than there is, or leave nothing for the process itself.
    #[test]
    fn shares_leave_descriptors_for_the_process_itself(limit in MIN_DESCRIPTORS..2_000_000) {
        let shares = DescriptorShares::of(limit);
        prop_assert!(shares.total() + OWN <= limit, "{shares:?}");
    }

    // Guards against a use that gets nothing, and against callers who get more connections than can be served.
    #[test]
    fn every_use_has_a_share_at_every_limit(limit in 0..2_000_000_usize) {
        let shares = DescriptorShares::of(limit);
        let all = [shares.callers, shares.servers, shares.peers, shares.readiness, shares.metrics];
        prop_assert!(all.iter().all(|share| *share >= MIN_SHARE), "{shares:?}");
        prop_assert!(shares.servers >= shares.callers, "{shares:?}");
    }

    // Guards against a use that loses by a higher limit.
    #[test]
    fn a_higher_limit_lowers_no_share(limit in 0..200_000_usize) {
        let (shares, more) = (DescriptorShares::of(limit), DescriptorShares::of(limit + 64));
        prop_assert!(more.callers >= shares.callers && more.servers >= shares.servers);
        prop_assert!(more.peers >= shares.peers && more.readiness >= shares.readiness);
    }
}

// Guards against a limit without an upper end that makes the sums overflow.
#[test]
fn a_process_without_a_limit_has_finite_shares() {
    let shares = DescriptorShares::of(usize::MAX);
    assert!(shares.callers <= 2_000 && shares.readiness <= 64, "{shares:?}");
}

// Guards against a deployment's limit that isn't taken, and against settings without one that are refused.
#[test]
fn the_limit_of_the_settings_holds_if_there_is_one() {
    let set = |text: &str| {
        let settings = format!(r#"{{"node": "n", "failure_domain": "a"{text}}}"#);
        Settings::try_from(settings.as_str()).expect("valid settings").max_descriptors
    };
    assert_eq!(set(r#", "max_descriptors": 4200"#), 4_200);
    assert_eq!(set(""), usize::MAX);
    assert_eq!(limit(MIN_DESCRIPTORS), MIN_DESCRIPTORS);
    assert_eq!(limit(usize::MAX), limit(usize::MAX - 1));
}
