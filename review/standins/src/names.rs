//! The platform's names of calls and fields, which are kept in a text file.

/// Returns the platform's name of a call, field or key.
pub fn name(wanted: &str) -> &'static str {
    let lines = include_str!("../names.txt").lines();
    let mut pairs = lines.filter_map(|line| line.split_once('='));
    pairs.find(|(key, _)| *key == wanted).map_or("", |(_, value)| value)
}
