use super::*;

#[test]
fn a_message_waits_for_those_before_it_in_its_direction() {
    let mut link = Link::new(8);

    let first = link.send(100_000, Timestamp(1_000));
    let second = link.send(100_000, Timestamp(1_050));
    let other_direction = link.receive(100_000, Timestamp(1_050));

    assert_eq!((first, second, other_direction), (Span(100), Span(150), Span(100)));
}
