//! The state of a process for tests.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use slog::{Discard, Logger, o};
use teaselgap_core::{Incarnation, ServiceId, Span, job::QueueConfig};
use teaselgap_platform::{config::Config, settings};

use super::{
    front::SharedState,
    lease::{LeaseRenewer, RenewalConfig},
    node::Node,
    peer, session, test_server,
};
use crate::metrics::Metrics;

/// An address at which calls arrive and get no answer.
pub(super) fn silent_address() -> SocketAddr {
    let (address, _) = test_server::serve("", &[]);
    address
}

/// A node that owns nothing, in a deployment with a queue for each of these services and a store at
/// this address.
///
/// Its lease, once it has one, is renewed at a store that doesn't answer.
pub(super) fn node(services: &[ServiceId], store: SocketAddr) -> Rc<Node> {
    let text = format!(
        "node_name = \"n1\"\nip = \"127.0.0.1\"\nzone = \"a\"\n[listen]\n[bounds]\n[platform]\naddress = \"{store}\"\n"
    );
    let settings = settings::parse(&text).unwrap();
    let log = Logger::root(Discard, o!());
    let queue = |service: &ServiceId| QueueConfig {
        service: service.clone(),
        max_attempts: 3,
        stretch_percent: 160,
        target_latency: Span(600),
        priority: 0,
        advice: None,
    };
    let queues = services.iter().map(|service| (service.as_str().parse().unwrap(), queue(service)));
    let config = Config { queues: queues.collect(), ..Config::default() };
    let shared = Arc::new(SharedState {
        config: arc_swap::ArcSwapOption::from_pointee(config),
        draining: false.into(),
        in_flight: 0.into(),
        requests: peer::request_channel().0,
        metrics: Metrics::new().unwrap(),
        log: log.clone(),
    });
    let renewal = session::renewal_config(&settings.store);
    let renewal = RenewalConfig { store: silent_address(), ..renewal };
    let lease = LeaseRenewer::start(renewal, log).unwrap();
    let own = ("n1".parse().unwrap(), Incarnation(1), store);
    Rc::new(Node::new(own, settings, shared, lease))
}

/// Waits for up to three seconds until the node serves the cells of all these services.
pub(super) async fn serves(node: &Node, services: &[ServiceId]) -> bool {
    for _ in 0..300 {
        if services.iter().all(|service| node.cell_owner(service).is_some()) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    false
}
