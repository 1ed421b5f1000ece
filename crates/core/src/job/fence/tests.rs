use super::*;

fn worker() -> WorkerId {
    "w0".into()
}

fn fences() -> Fences {
    Fences::new(Epoch(3))
}

#[test]
fn calls_have_one_token_while_all_are_answered() {
    let mut fences = fences();

    let hold = fences.of_hold(&worker());
    fences.on_hold_over(&worker());
    let start = fences.of_call(&worker(), FencedCall::Start);
    let stop = fences.of_call(&worker(), FencedCall::Run);

    assert_eq!((hold, start, stop), (Fence::first_of(Epoch(3)), hold, hold));
}

#[test]
fn a_call_outranks_one_of_before_that_got_no_answer() {
    let mut fences = fences();
    let unanswered = fences.of_hold(&worker());

    fences.on_hold_over(&worker());
    fences.outrank(&worker());
    let next = fences.of_hold(&worker());

    assert!(next > unanswered);
    assert!(fences.is_outranked(&worker(), unanswered));
    assert!(!fences.is_outranked(&worker(), next));
}

/// Guards against a hold that confirms the end of a run, or prolongs its lease, in a later instance than
/// the one that it was for.
#[test]
fn a_start_order_outranks_each_hold_under_way() {
    let mut fences = fences();
    let first_hold = fences.of_hold(&worker());
    let first_start = fences.of_call(&worker(), FencedCall::Start);
    let second_start = fences.of_call(&worker(), FencedCall::Start);
    let second_hold = fences.of_hold(&worker());
    fences.on_hold_over(&worker());

    let third_start = fences.of_call(&worker(), FencedCall::Start);

    assert!(first_start > first_hold);
    assert_eq!(second_start, first_start);
    assert_eq!(second_hold, first_start);
    assert!(third_start > second_hold);
}

#[test]
fn the_tokens_of_a_later_term_outrank_all_of_an_earlier_one() {
    let mut fences = fences();
    let first = fences.of_call(&worker(), FencedCall::Run);
    fences.latest(&worker()).fence = Fence(first.get() + LAST_GENERATION);

    fences.outrank(&worker());

    let last = fences.of_call(&worker(), FencedCall::Run);
    assert_eq!(last.get(), first.get() + LAST_GENERATION);
    assert!(last < Fence::first_of(Epoch(4)));
}

#[test]
fn a_token_is_read_as_it_is_written() {
    let fence = Fence::first_of(Epoch(7)).next();

    assert_eq!(fence.to_string().parse(), Ok(fence));
    assert!("token".parse::<Fence>().is_err());
}
