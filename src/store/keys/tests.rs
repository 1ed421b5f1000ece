use super::*;

#[test]
fn control_keys_parse_to_the_ids_they_were_built_from() {
    let keys = Keys::new("/t/");
    let node_incarnation =
        NodeIncarnation { node: "n1".parse().unwrap(), incarnation: "7".parse().unwrap() };
    let duty: DutyId = "slots/shop".parse().unwrap();
    let service: ServiceId = "previews".parse().unwrap();

    let cases = [
        (keys.head(), ControlKey::Head),
        (keys.node(&node_incarnation), ControlKey::Node(node_incarnation)),
        (keys.duty(&duty), ControlKey::Duty(duty)),
        (keys.service(&service), ControlKey::Service(service)),
    ];

    for (key, expected) in cases {
        assert_eq!(keys.parse_control(&key), Some(expected), "{key}");
    }
}
