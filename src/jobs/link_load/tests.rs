use teaselgap_platform::traffic::Traffic;

use super::*;

#[test]
fn a_line_names_each_purpose_with_its_bytes_each_way() {
    let traffic = Traffic::default();
    traffic.record_sent(Purpose::Holds, 300);
    traffic.record_sent(Purpose::Holds, 50);
    traffic.record_received(Purpose::Holds, 1_000);
    traffic.record_received(Purpose::Configuration, 40_000);
    traffic.record_sent(Purpose::Other, 7);

    let load = link_load(&traffic.take_report());

    let expected = LinkLoad {
        sent: 357,
        received: 41_000,
        sent_by: "holds 350 other 7".to_owned(),
        received_by: "configuration 40000 holds 1000".to_owned(),
    };
    assert_eq!(load, expected);
}

#[test]
fn a_line_counts_only_what_came_after_the_one_before() {
    let traffic = Traffic::default();
    traffic.record_sent(Purpose::Lease, 100);

    let first = link_load(&traffic.take_report());
    let second = link_load(&traffic.take_report());

    assert_eq!((first.sent, second), (100, LinkLoad::default()));
}
