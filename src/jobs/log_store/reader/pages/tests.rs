use std::collections::BTreeSet;

use proptest::prelude::*;

use super::*;

/// Bytes that a segment has on the wire, at least.
const MIN_SEGMENT_BYTES: u64 = 100;

/// Reads the segments `first..=last` of these sizes. At each step up to two groups are open, and the one
/// that `choices` names is read, or all open ones fail. Returns the numbers in the order of reading, and
/// the bytes of each page.
fn read(
    (first, last): (Sequence, Sequence),
    max_page_bytes: u64,
    size: impl Fn(Sequence) -> u64,
    choices: &[(bool, bool)],
) -> (Vec<Sequence>, Vec<u64>) {
    let mut plan = PagePlan::new(last, max_page_bytes);
    let mut choices = choices.iter().cycle();
    let (mut open, mut numbers, mut pages) = (Vec::new(), Vec::new(), Vec::new());
    loop {
        while open.len() < 2
            && let Some(group) = plan.next_group()
        {
            open.push(group);
        }
        if open.is_empty() {
            return (numbers, pages);
        }
        let &(is_last, fails) = choices.next().unwrap_or(&(false, false));
        if fails {
            open.clear();
            plan.reopen();
            continue;
        }
        let group = open.remove(if is_last { open.len() - 1 } else { 0 });
        let end = group.first.saturating_add(group.size());
        let read: Vec<Sequence> = (group.first.max(first)..end.min(last + 1)).collect();
        let bytes = read.iter().map(|number| size(*number)).sum();
        plan.record(group, read.len() as u64, bytes);
        pages.push(bytes);
        numbers.extend(read);
    }
}

proptest! {
    #[test]
    fn each_segment_is_read_once(
        first in 0..5_000_u64,
        count in 1..3_000_u64,
        max_page_bytes in 1..400_000_u64,
        spread in 1..2_000_u64,
        mut choices in proptest::collection::vec((any::<bool>(), proptest::bool::weighted(0.2)), 1..20),
    ) {
        choices.push((false, false));
        let size = |number: Sequence| MIN_SEGMENT_BYTES + number * 7_919 % spread;

        let (numbers, _) = read((first, first + count - 1), max_page_bytes, size, &choices);

        let distinct: BTreeSet<Sequence> = numbers.iter().copied().collect();
        prop_assert_eq!(distinct.len(), numbers.len());
        prop_assert_eq!(distinct, (first..first + count).collect());
    }

    #[test]
    fn a_page_of_segments_of_one_size_is_no_larger_than_allowed(
        first in 0..5_000_u64,
        count in 1..3_000_u64,
        max_page_bytes in 1..400_000_u64,
        bytes in MIN_SEGMENT_BYTES..20_000,
    ) {
        let (_, pages) = read((first, first + count - 1), max_page_bytes, |_| bytes, &[]);

        // The size of a segment is not known before the first page, and a segment can't be divided.
        let largest = pages.iter().skip(1).max().copied().unwrap_or(0);
        prop_assert!(largest <= max_page_bytes.max(bytes), "{}", largest);
        prop_assert!(pages[0] <= 16 * bytes, "{}", pages[0]);
    }
}

#[test]
fn a_log_of_small_segments_takes_few_pages() {
    // The narrowest link of the users' deployments lets 25 KB pass in 100 ms.
    let (numbers, pages) = read((900, 1_312), 25_000, |_| 860, &[]);

    assert_eq!(numbers.len(), 413);
    assert!(pages.len() <= 30, "{}", pages.len());
}

#[test]
fn a_group_is_read_by_the_common_prefix_of_its_keys() {
    let prefix = |number, open_digits| Group::around(number, open_digits).key_prefix("log/");

    assert_eq!(prefix(0x13a, 0), "log/000000000000013a");
    assert_eq!(prefix(0x13a, 1), "log/000000000000013");
    assert_eq!(prefix(0x1_23ab, 3), "log/0000000000012");
}

#[test]
fn the_last_possible_number_ends_no_search_too_early() {
    let (numbers, _) = read((u64::MAX - 40, u64::MAX - 1), 1_000, |_| 500, &[]);

    assert_eq!(numbers.len(), 40);
}
