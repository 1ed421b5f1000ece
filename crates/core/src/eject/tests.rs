use super::*;

fn health_after(outcomes: &[bool]) -> Health {
    let mut health = Health::default();
    for &succeeded in outcomes {
        health.record(&Config::default(), succeeded, Timestamp(0));
    }
    health
}

fn ejected_vms(mut pool: Vec<Health>) -> Vec<bool> {
    let mut refs: Vec<&mut Health> = pool.iter_mut().collect();
    update_ejections(&Config::default(), &mut refs, Timestamp(0));
    pool.iter().map(|health| health.is_ejected(Timestamp(0))).collect()
}

#[test]
fn a_vm_that_fails_everything_is_ejected() {
    let mut pool = vec![health_after(&[true; 10]); 9];
    pool.push(health_after(&[false; 10]));

    assert_eq!(ejected_vms(pool).iter().filter(|&&ejected| ejected).count(), 1);
}

#[test]
fn no_vm_is_ejected_if_all_fail() {
    assert_eq!(ejected_vms(vec![health_after(&[false; 20]); 10]), vec![false; 10]);
}

#[test]
fn at_most_a_third_is_ejected_at_once() {
    let mut pool = vec![health_after(&[true; 10]); 6];
    pool.extend(vec![health_after(&[false; 20]); 4]);

    assert_eq!(ejected_vms(pool).iter().filter(|&&ejected| ejected).count(), 3);
}

#[test]
fn a_failed_probe_ejects_for_longer_and_a_successful_one_resets_the_record() {
    let cfg = Config::default();
    let mut health = health_after(&[false; 20]);
    health.eject(&cfg, Timestamp(0));

    health.record(&cfg, false, Timestamp(2_000));
    assert!(health.is_ejected(Timestamp(5_999)));
    health.record(&cfg, true, Timestamp(6_000));

    assert_eq!(health, Health::default());
}
