use super::{
    super::{
        host,
        test_node::{node, serves},
        test_server,
    },
    *,
};
use teaselgap_core::Span;

/// An empty store.
const EMPTY: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// Asks a node that owns a cell by a claim of epoch 9, for an owner of this epoch. Returns the epochs of the terms that
/// it tells of, and whether it goes on as the owner.
fn ask_owner(asking: Epoch) -> (Vec<Epoch>, bool) {
    let cell: ServiceId = "drums".parse().unwrap();
    test_server::run(async {
        let test = async {
            let (store, _) = test_server::serve(EMPTY, &[]);
            let node = node(std::slice::from_ref(&cell), store);
            node.lease.set(5, clock::now() + Span(60_000));
            host::start(&node, cell.clone(), Epoch(9), 0);
            assert!(serves(&node, std::slice::from_ref(&cell)).await);
            let told = tell(&node, &cell, asking);
            let epochs = told.iter().map(TermEndReport::epoch).collect();
            (epochs, node.cell_owner(&cell).is_some())
        };
        tokio::task::LocalSet::new().run_until(test).await
    })
}

/// Guards against orders that follow the answer.
#[test]
fn an_owner_that_a_later_one_asks_ends_its_term_before_it_answers() {
    assert_eq!(ask_owner(Epoch(12)), (vec![Epoch(9)], false));
}

#[test]
fn an_owner_that_an_earlier_one_asks_goes_on() {
    assert_eq!(ask_owner(Epoch(7)), (Vec::new(), true));
}
