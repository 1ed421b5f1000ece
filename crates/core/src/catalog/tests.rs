use proptest::prelude::*;

use super::*;

fn declaration(service: &str, normal: u32) -> Declaration {
    let text = format!(
        r#"{{"service":"{service}","pool":"p","capacity":{{"normal":{normal},"peak":{normal}}}}}"#
    );
    crate::declare::parse("f.json", text.as_bytes()).unwrap()
}

/// The catalogs after each change, starting with an empty one. Change `i` sets the
/// declaration of service `changes[i] % 4`, or withdraws it if `changes[i]` is a multiple of 5.
fn history(changes: &[u8]) -> Vec<Catalog> {
    let mut catalogs = vec![Catalog::default()];
    for (i, change) in changes.iter().enumerate() {
        let mut next = catalogs[i].clone();
        let generation = next.generation().next();
        let service = format!("s{}", change % 4);
        let declaration = (change % 5 != 0)
            .then(|| Arc::new(declaration(&service, u32::try_from(i).unwrap() + 1)));
        let record = Record { generation, declaration };
        next.merge(Delta { generation, records: vec![(service.parse().unwrap(), record)] });
        catalogs.push(next);
    }
    catalogs
}

fn sorted(catalog: &Catalog) -> Catalog {
    let mut catalog = catalog.clone();
    catalog.records.sort_keys();
    catalog
}

proptest! {
    #[test]
    fn deltas_in_any_order_give_the_catalog_of_their_generation(
        changes in proptest::collection::vec(any::<u8>(), 1..12),
        order in proptest::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 1..30),
    ) {
        let catalogs = history(&changes);
        let mut node = Catalog::default();
        for (index, from_start) in order {
            let source = &catalogs[index.index(catalogs.len())];
            let since = if from_start { Generation(0) } else { node.generation() };
            let before = node.generation();
            node.merge(source.delta_since(since));
            prop_assert!(node.generation() >= before);
            let expected = &catalogs[usize::try_from(node.generation().0).unwrap()];
            prop_assert_eq!(sorted(&node), sorted(expected));
        }
    }
}

#[test]
fn a_change_of_one_service_gives_a_delta_of_one_record() {
    let catalogs = history(&[1, 2, 3, 1]);

    let delta = catalogs[4].delta_since(Generation(3));

    assert_eq!(delta.records.len(), 1);
}

#[test]
fn capacity_beyond_the_fleet_is_refused() {
    let declarations =
        [("a.json".to_owned(), declaration("a", 10)), ("b.json".to_owned(), declaration("b", 10))];
    let size = PoolCapacity { vms: 16, racks: 1, slots: Slots(16) };
    let fleet = IndexMap::from([("p".parse().unwrap(), size)]);

    let problems = check(&declarations, Some(&fleet));

    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].pointer, "/capacity/normal");
}

#[test]
fn capacity_that_leaves_no_vm_for_maintenance_is_refused() {
    let size = PoolCapacity { vms: 2, racks: 1, slots: Slots(16) };
    let fleet = IndexMap::from([("p".parse().unwrap(), size)]);
    let problems_of =
        |normal| check(&[("a.json".to_owned(), declaration("a", normal))], Some(&fleet));

    assert_eq!(problems_of(8), []);
    assert!(problems_of(9)[0].message.contains("with a VM in maintenance it has 8"));
}

#[test]
fn a_service_declared_twice_is_refused() {
    let declarations =
        [("a.json".to_owned(), declaration("a", 1)), ("b.json".to_owned(), declaration("a", 1))];

    assert_eq!(check(&declarations, None).len(), 1);
}
