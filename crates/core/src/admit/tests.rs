use super::*;

fn service(name: &str) -> ServiceId {
    name.parse().unwrap()
}

fn policy(normal: u32, urgency: Urgency) -> ServicePolicy {
    ServicePolicy { normal, urgency, waiting_per_customer: 100 }
}

fn waiting(ticket: u64, customer: &str, arrived: u64) -> WaitingRequest {
    WaitingRequest {
        ticket: Ticket(ticket),
        customer: customer.parse().unwrap(),
        deadline: Timestamp(arrived + 1_000),
        arrived: Timestamp(arrived),
    }
}

fn queue(held: u32, services: &[(&str, u32, Urgency)]) -> Queue {
    let mut queue = Queue::default();
    queue.set_held(held);
    for (name, normal, urgency) in services {
        queue.set_policy(&service(name), policy(*normal, *urgency));
    }
    queue
}

/// Starts `count` requests that never finish, and returns how many of each service were started.
fn serve(queue: &mut Queue, count: usize, names: &[&str]) -> Vec<usize> {
    let mut served = vec![0; names.len()];
    for _ in 0..count {
        let (_, next) = queue.dequeue(Timestamp(1), &mut Vec::new()).unwrap();
        let i = usize::try_from(next.ticket.0 / 1_000).unwrap();
        queue.on_start(&service(names[i]));
        served[i] += 1;
    }
    served
}

fn enqueue_all(queue: &mut Queue, names: &[&str], counts: &[u64]) {
    for (i, (name, count)) in names.iter().zip(counts).enumerate() {
        for n in 0..*count {
            let ticket = i as u64 * 1_000 + n;
            queue.enqueue(&service(name), waiting(ticket, &format!("c{}", n % 10), 0)).unwrap();
        }
    }
}

#[test]
fn every_service_keeps_its_share_when_the_most_urgent_floods() {
    let names = ["previews", "stock"];
    let mut queue =
        queue(8, &[("previews", 6, Urgency::Interactive), ("stock", 2, Urgency::Batch)]);
    enqueue_all(&mut queue, &names, &[500, 10]);

    assert_eq!(serve(&mut queue, 8, &names), [6, 2]);
}

#[test]
fn unused_shares_go_to_the_most_urgent_service() {
    let names = ["previews", "stock", "idle"];
    let shares = [
        ("previews", 2, Urgency::Interactive),
        ("stock", 2, Urgency::Batch),
        ("idle", 4, Urgency::Normal),
    ];
    let mut queue = queue(8, &shares);
    enqueue_all(&mut queue, &names, &[100, 100, 0]);

    assert_eq!(serve(&mut queue, 8, &names), [6, 2, 0]);
}

#[test]
fn customers_are_served_round_robin() {
    let mut queue = queue(8, &[("s", 8, Urgency::Normal)]);
    for ticket in 0..50 {
        queue.enqueue(&service("s"), waiting(ticket, "flooder", 0)).unwrap();
    }
    queue.enqueue(&service("s"), waiting(100, "quiet", 0)).unwrap();

    let first_two: Vec<_> =
        (0..2).map(|_| queue.dequeue(Timestamp(1), &mut Vec::new()).unwrap().1.ticket).collect();

    assert!(first_two.contains(&Ticket(100)));
}

#[test]
fn a_customer_within_its_limit_is_not_refused_when_another_floods() {
    let mut queue = queue(8, &[("s", 8, Urgency::Normal)]);
    queue.on_start(&service("s"));
    queue.on_finish(&service("s"), 100_000);
    let flood = |queue: &mut Queue| {
        for ticket in 0..1_000 {
            let _ = queue.enqueue(&service("s"), waiting(ticket, "flooder", 0));
        }
    };
    flood(&mut queue);

    assert_eq!(queue.enqueue(&service("s"), waiting(5_000, "quiet", 0)), Ok(()));
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_on_arrival() {
    let mut queue = queue(1, &[("s", 1, Urgency::Normal)]);
    queue.on_start(&service("s"));
    queue.on_finish(&service("s"), 150_000);

    let results: Vec<_> =
        (0..5).map(|ticket| queue.enqueue(&service("s"), waiting(ticket, "c", 0))).collect();

    assert_eq!(results[..3], [Ok(()); 3]);
    assert_eq!(results[3..], [Err(Refusal::TooLate); 2]);
}

#[test]
fn the_newest_is_served_first_once_the_oldest_has_waited_too_long() {
    let mut queue = queue(8, &[("s", 8, Urgency::Normal)]);
    queue.enqueue(&service("s"), waiting(1, "c", 0)).unwrap();
    queue.enqueue(&service("s"), waiting(2, "c", 500)).unwrap();

    let (_, next) = queue.dequeue(Timestamp(600), &mut Vec::new()).unwrap();

    assert_eq!(next.ticket, Ticket(2));
}

#[test]
fn expired_requests_are_reported_and_not_served() {
    let mut queue = queue(8, &[("s", 8, Urgency::Normal)]);
    queue.enqueue(&service("s"), waiting(1, "c", 0)).unwrap();
    let mut too_late = Vec::new();

    assert_eq!(queue.dequeue(Timestamp(1_000), &mut too_late), None);
    assert_eq!(too_late, [Ticket(1)]);
    assert!(queue.is_empty());
}

#[test]
fn a_removed_request_is_not_served() {
    let mut queue = queue(8, &[("s", 8, Urgency::Normal)]);
    queue.enqueue(&service("s"), waiting(1, "c", 0)).unwrap();

    assert!(queue.remove(&service("s"), &"c".parse().unwrap(), Ticket(1)));
    assert_eq!(queue.dequeue(Timestamp(1), &mut Vec::new()), None);
}
