use super::*;

#[test]
fn invalid_names_are_refused() {
    for text in ["", "a/b", "a b", "é", &"x".repeat(129)] {
        assert!(text.parse::<ServiceId>().is_err(), "{text}");
    }
}

#[test]
fn the_error_shows_the_kind_and_the_name() {
    let err = "a/b".parse::<PoolId>().unwrap_err();

    assert_eq!(
        err.to_string(),
        "pool \"a/b\": has a character other than letters, digits and -_.:"
    );
}
