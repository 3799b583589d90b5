//! Tests of the choice of the process that takes a request over.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use pass::helpers::Helper;
use pass::helpers::Helpers;

const NOW: Mono = Duration::from_secs(10);

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

fn helpers(domains: &[&str]) -> Helpers {
    let listed: Vec<Helper> = (1..)
        .zip(domains)
        .map(|(number, domain)| Helper {
            address: address(number),
            failure_domain: (*domain).into(),
        })
        .collect();
    let mut helpers = Helpers::default();
    helpers.set(&listed, "a");
    helpers
}

fn choose(helpers: &mut Helpers, count: usize) -> BTreeMap<SocketAddr, usize> {
    let mut chosen = BTreeMap::new();
    for _ in 0..count {
        *chosen.entry(helpers.choose(NOW).expect("a helper")).or_default() += 1;
    }
    chosen
}

// Guards against one process that gets all requests of another one that is cut off.
#[test]
fn requests_are_spread_over_the_own_domain_first_and_then_over_the_others() {
    let mut helpers = helpers(&["a", "a", "b", "c"]);
    let few = choose(&mut helpers, 6);
    assert_eq!(few.keys().copied().collect::<Vec<_>>(), [address(1), address(2)]);
    let many = choose(&mut helpers, 34);
    assert!(many.values().all(|count| (6..=10).contains(count)), "{many:?}");
}

// Guards against a helper that is asked again and again though it declines or is gone.
#[test]
fn a_helper_that_failed_is_left_out_for_a_while() {
    let mut helpers = helpers(&["a", "b"]);
    helpers.failed(address(1), NOW);
    assert_eq!(choose(&mut helpers, 10).len(), 1);
    assert_eq!(helpers.choose(NOW + Duration::from_secs(2)), Some(address(1)));
    helpers.failed(address(1), NOW);
    helpers.failed(address(2), NOW);
    assert_eq!(helpers.choose(NOW), None);
}

// Guards against a process that counts requests for ever at a helper that is listed no more, and against
// one that forgets those that run at a helper which is listed again.
#[test]
fn the_list_changes_without_losing_the_requests_that_run() {
    let mut helpers = helpers(&["a"]);
    assert_eq!(helpers.choose(NOW), Some(address(1)));
    helpers.set(&[], "a");
    assert_eq!(helpers.choose(NOW), None);
    let listed =
        [1, 2].map(|number| Helper { address: address(number), failure_domain: "a".into() });
    helpers.set(&listed, "a");
    assert_eq!(helpers.choose(NOW), Some(address(2)), "the first still serves a request");
    helpers.ended(address(1));
    assert_eq!(helpers.choose(NOW), Some(address(1)));
}

// Guards against a failure domain whose processes are all cut off that is asked alone, and against one
// process that all others ask.
#[test]
fn witnesses_come_from_different_domains_and_vary() {
    let mut helpers = helpers(&["a", "a", "a", "b", "b", "c"]);
    let mut asked = BTreeMap::new();
    for _ in 0..12 {
        let witnesses = helpers.witnesses(3, NOW);
        let domain = |address: &SocketAddr| match address.port() {
            1..=3 => "a",
            4..=5 => "b",
            _ => "c",
        };
        let mut domains: Vec<&str> = witnesses.iter().map(domain).collect();
        domains.sort_unstable();
        assert_eq!(domains, ["a", "b", "c"]);
        for address in witnesses {
            *asked.entry(address).or_insert(0) += 1;
        }
    }
    assert_eq!(asked.len(), 6, "{asked:?}");
    assert!(
        helpers.witnesses(9, NOW).len() == 6 && Helpers::default().witnesses(3, NOW).is_empty()
    );
}
