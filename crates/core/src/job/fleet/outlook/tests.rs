use super::*;

fn pool(name: &str) -> ServiceId {
    name.parse().unwrap()
}

fn sizes(sizes: &[(&str, u64, u64)]) -> IndexMap<ServiceId, PoolSize> {
    let size = |has, wants| PoolSize { has, floor: 1, wants };
    sizes.iter().map(|&(name, has, wants)| (pool(name), size(has, wants))).collect()
}

#[test]
fn a_pool_can_get_what_is_on_standby_and_what_other_pools_can_spare() {
    let sizes = sizes(&[("shop", 4, 20), ("yard", 6, 3)]);

    let most = most_vms(&sizes, 5 + 3);

    // Shop lacks all eight.
    assert_eq!(most, IndexMap::from([(pool("shop"), 12), (pool("yard"), 6)]));
}

#[test]
fn pools_that_lack_vms_at_the_same_time_do_not_count_on_the_same_ones() {
    let sizes = sizes(&[("shop", 2, 10), ("yard", 4, 8)]);

    let most = most_vms(&sizes, 6);

    assert_eq!(most.values().sum::<u64>(), 2 + 4 + 6);
}

#[test]
fn a_pool_whose_need_is_met_can_get_the_rest_if_it_needs_more() {
    let sizes = sizes(&[("shop", 6, 4), ("yard", 2, 4)]);

    // Five on standby and the two that shop can spare, of which yard lacks two.
    let most = most_vms(&sizes, 5 + 2);

    assert_eq!(most, IndexMap::from([(pool("shop"), 6 + 5 - 2), (pool("yard"), 4 + 5)]));
}
