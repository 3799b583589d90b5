//! The marginal utility of one more group.

use base::prelude::*;
use form::utility::Requirement;
use form::utility::marginal_utility;
use proptest::prelude::*;

fn seconds(seconds: u64) -> Mono {
    Duration::from_secs(seconds)
}

/// A model that rejected a third of its requests got no group from one that was a third full, since
/// only the shares of work counted.
#[test]
fn overload_of_a_model_outweighs_a_larger_share_of_work() {
    let idle = marginal_utility(0.6, 9.0, Some(3.0));
    let overloaded = marginal_utility(0.4, 6.0, Some(9.0));
    assert!(overloaded > 2.0 * idle, "{overloaded} and {idle}");
    assert!(marginal_utility(0.4, 6.0, Some(12.0)) > overloaded, "it grows with the overload");
}

/// A model without any group waited while an overloaded one of the same demand got more groups.
#[test]
fn a_first_group_goes_before_relief_of_an_overload() {
    for required in 1..40 {
        let relief = marginal_utility(0.5, 1.0, Some(f64::from(required)));
        assert!(marginal_utility(0.5, 0.0, None) > relief, "{required} groups required");
    }
}

/// Demand that swings by half within 15 s moved groups with every swing.
#[test]
fn swings_around_the_capacity_do_not_begin_or_end_an_overload() {
    let mut steady = Requirement::new(10.0, seconds(0));
    let mut overloaded = Requirement::new(14.0, seconds(0));
    overloaded.observe(14.0, 10.0, seconds(0));
    assert!(overloaded.is_overloaded());
    for second in 1..120 {
        let swing = if second % 15 < 7 { 12.5 } else { 7.5 };
        steady.observe(swing, 10.0, seconds(second));
        overloaded.observe(swing, 9.0, seconds(second));
        assert!(!steady.is_overloaded(), "at {second} s");
        assert!(overloaded.is_overloaded(), "at {second} s");
    }
}

proptest! {
    /// With a utility that grew with the supply, the planner formed all groups for one model.
    #[test]
    fn each_group_is_worth_less_than_the_one_before(
        required in 0.0..100.0f64,
        supply in 1u32..100,
    ) {
        let of = |supply: u32| marginal_utility(0.5, f64::from(supply), Some(required));
        prop_assert!(of(supply + 1) < of(supply));
        prop_assert!(of(supply + 1) > 0.0);
    }

    /// Deployments with spare capacity plan as they did without any knowledge of the load.
    #[test]
    fn spare_capacity_changes_nothing(required in 0.0..10.0f64, supply in 10u32..100) {
        let supply = f64::from(supply);
        let unknown = marginal_utility(0.5, supply, None);
        prop_assert_eq!(marginal_utility(0.5, supply, Some(required)), unknown);
    }
}
