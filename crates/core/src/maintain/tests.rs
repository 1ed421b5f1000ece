use proptest::prelude::*;

use super::*;

const DAY: u64 = 86_400_000;

fn fleet(vms: u32, rack_size: u32) -> IndexMap<VmId, VmView> {
    (0..vms)
        .map(|i| {
            let view = VmView {
                rack: format!("rack-{}", i / rack_size).parse().unwrap(),
                slots: Slots(8),
                serves: true,
                is_out_of_service: false,
                maintained: Timestamp(u64::from(i)),
            };
            (format!("vm-{i:02}").parse().unwrap(), view)
        })
        .collect()
}

fn tolerance(max_vms: u32, normal: u32) -> Tolerance {
    Tolerance { max_vms, max_racks: 1, normal: Slots(normal), budget_left: Span(0) }
}

fn started(decision: Decision) -> Vec<VmId> {
    match decision {
        Decision::Start(vms) => vms,
        Decision::Wait(reason) => panic!("{reason:?}"),
    }
}

const NOW: Timestamp = Timestamp(22 * DAY);

#[test]
fn waves_start_with_one_vm_and_double_up_to_the_limit() {
    let mut vms = fleet(12, 4);
    let mut waves = Waves::default();
    let mut sizes = Vec::new();
    for _ in 0..4 {
        let wave = started(waves.decide(&vms, &tolerance(3, 8), NOW));
        sizes.push(wave.len());
        for vm in wave {
            vms[&vm].maintained = NOW;
            waves.record_return(&vm);
        }
    }

    assert_eq!(sizes, [1, 2, 1, 3]);
}

#[test]
fn a_vm_is_not_due_before_three_quarters_of_the_period() {
    let decision = Waves::default().decide(&fleet(8, 4), &tolerance(1, 8), Timestamp(20 * DAY));

    assert_eq!(decision, Decision::Wait(WaitReason::NoVmDue));
}

#[test]
fn a_failure_after_maintenance_pauses_further_waves() {
    let vms = fleet(8, 4);
    let mut waves = Waves::default();
    let canary = started(waves.decide(&vms, &tolerance(4, 8), NOW));

    waves.record_failure(&canary[0], NOW);

    let paused = waves.decide(&vms, &tolerance(4, 8), NOW + Span(1));
    let resumed = waves.decide(&vms, &tolerance(4, 8), NOW + FAILURE_PAUSE);
    assert_eq!(paused, Decision::Wait(WaitReason::RecentFailures));
    assert_eq!(started(resumed).len(), 1);
}

#[test]
fn no_stop_while_the_loss_of_a_rack_would_break_the_normal_capacity() {
    let vms = fleet(8, 4);

    let without_budget = Waves::default().decide(&vms, &tolerance(1, 32), NOW);
    let budget = Tolerance { budget_left: RACK_LOSS_OUTAGE, ..tolerance(1, 32) };
    let with_budget = Waves::default().decide(&vms, &budget, NOW);

    assert_eq!(without_budget, Decision::Wait(WaitReason::NoReserve));
    assert_eq!(started(with_budget).len(), 1);
}

#[test]
fn a_shortfall_is_counted_once() {
    let mut shortfall = Shortfall::default();
    for (has_normal_capacity, at) in [(true, 0), (false, 10), (false, 30), (true, 50), (true, 90)] {
        shortfall.observe(has_normal_capacity, Timestamp(at));
    }

    assert_eq!(shortfall.total(), Span(40));
}

proptest! {
    /// A planned stop leaves at least the normal capacity, whichever VMs have failed.
    #[test]
    fn no_planned_stop_breaks_the_normal_capacity(
        size in 2..24_u32, rack_size in 1..5_u32, max_vms in 1..6_u32, max_racks in 1..3_u32,
        normal in 1..120_u32, budget in prop::bool::ANY,
        events in prop::collection::vec((0..24_usize, 0..4_u8), 1..60),
    ) {
        let mut vms = fleet(size, rack_size);
        let budget_left = if budget { RACK_LOSS_OUTAGE } else { Span(0) };
        let limits = Tolerance { max_vms, max_racks, normal: Slots(normal), budget_left };
        let mut waves = Waves::default();
        let mut now = NOW;
        for (i, event) in events {
            now = now + Span(1_000);
            let id = vms.get_index(i % vms.len()).unwrap().0.clone();
            match event {
                // A VM fails, or is repaired.
                0 => vms[&id].serves = false,
                1 if !vms[&id].is_out_of_service => vms[&id].serves = true,
                // A stopped VM comes back.
                2 if vms[&id].is_out_of_service => {
                    let vm = &mut vms[&id];
                    (vm.is_out_of_service, vm.serves, vm.maintained) = (false, true, now);
                    waves.record_return(&id);
                }
                _ => {}
            }
            if let Decision::Start(chosen) = waves.decide(&vms, &limits, now) {
                for vm in &chosen {
                    prop_assert!(vms[vm].serves && !vms[vm].is_out_of_service);
                    vms[vm].serves = false;
                    vms[vm].is_out_of_service = true;
                }
                let left: u32 = vms.values().filter(|vm| vm.serves).map(|vm| vm.slots.0).sum();
                prop_assert!(left >= normal, "{left} slots left of {normal}");
                let stopped_vms = vms.values().filter(|vm| vm.is_out_of_service);
                let racks: HashSet<_> = stopped_vms.clone().map(|vm| vm.rack.clone()).collect();
                prop_assert!(stopped_vms.count() as u64 <= u64::from(max_vms));
                prop_assert!(racks.len() as u64 <= u64::from(max_racks));
            }
        }
    }
}
