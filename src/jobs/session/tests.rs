use super::{
    super::{
        test_node::{node, silent_address},
        test_server,
    },
    *,
};

/// Guards against a node that never registers because the store was silent as it began to.
#[test]
fn a_registration_that_the_store_never_answers_is_waited_for_for_ever() {
    let result = test_server::run(async {
        let node = node(&[], silent_address());
        tokio::time::timeout(Duration::from_secs(6), register(&node)).await
    });

    assert!(matches!(result, Ok(Err(StoreError::Uncertain(_)))), "{result:?}");
}
