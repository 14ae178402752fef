//! Parses values with units.

/// Splits a value into its number and its unit.
fn split_unit(text: &str) -> Option<(f64, &str)> {
    let at = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let number: f64 = text[..at].parse().ok()?;
    (number.is_finite() && text.as_bytes()[0] != b'.').then_some((number, &text[at..]))
}

/// A date in UTC, as seconds since 1970 at the start of the day.
pub fn date(text: &str) -> Result<u64, String> {
    let date: jiff::civil::Date =
        text.parse().map_err(|_| format!("'{text}' is not a date: write 2027-03-01"))?;
    let start = jiff::tz::TimeZone::UTC.to_timestamp(date.at(0, 0, 0, 0)).map_err(|e| e.to_string())?;
    u64::try_from(start.as_second()).map_err(|_| format!("'{text}' is before 1970"))
}

/// A duration in milliseconds: `500ms`, `1.5s`, `2min`, `1h`.
pub fn milliseconds(text: &str) -> Result<f64, String> {
    let unit = |u: &str| {
        Some(match u {
            "us" => 0.001,
            "ms" => 1.0,
            "s" => 1e3,
            "min" => 6e4,
            "h" => 3.6e6,
            _ => return None,
        })
    };
    let value = split_unit(text).and_then(|(n, u)| Some(n * unit(u)?));
    value.ok_or_else(|| format!("'{text}' is not a duration: write 500ms, 1.5s, 2min or 1h"))
}

/// An amount of memory in bytes: `64KiB`, `384MiB`, `4GiB`, `100B`.
pub fn bytes(text: &str) -> Result<f64, String> {
    let unit = |u: &str| {
        Some(match u {
            "B" => 1.0,
            "KiB" => 1024.0,
            "MiB" => 1048576.0,
            "GiB" => 1073741824.0,
            _ => return None,
        })
    };
    let value = split_unit(text).and_then(|(n, u)| Some((n * unit(u)?).floor()));
    value.ok_or_else(|| format!("'{text}' is not an amount of memory: write 100B, 64KiB, 384MiB or 4GiB"))
}

/// A fraction from 0 to 1: `25%` or `0.25`.
pub fn share(text: &str) -> Result<f64, String> {
    let value = split_unit(text).and_then(|(n, u)| match u {
        "%" => Some(n / 100.0),
        "" => Some(n),
        _ => None,
    });
    value
        .filter(|s| *s <= 1.0)
        .ok_or_else(|| format!("'{text}' is not a share: write 25% or 0.25, at most 1"))
}

/// A number without a unit.
pub fn number(text: &str) -> Result<f64, String> {
    let value = split_unit(text).filter(|(_, u)| u.is_empty()).map(|(n, _)| n);
    value.ok_or_else(|| format!("'{text}' is not a number"))
}

#[cfg(test)]
mod tests {
    use test_case::test_case;

    #[test_case("500ms", Some(500.0))]
    #[test_case("1.5s", Some(1500.0))]
    #[test_case("2min", Some(120_000.0))]
    #[test_case("500", None ; "no unit")]
    #[test_case("-5s", None ; "negative")]
    #[test_case("s", None ; "no number")]
    #[test_case("", None ; "empty")]
    #[test_case("1e3s", None ; "an exponent")]
    fn durations_need_a_number_and_a_unit(text: &str, expected: Option<f64>) {
        assert_eq!(super::milliseconds(text).ok(), expected);
    }

    #[test_case("4GiB", Some(4294967296.0))]
    #[test_case("4GB", None ; "a decimal unit")]
    fn memory_needs_a_binary_unit(text: &str, expected: Option<f64>) {
        assert_eq!(super::bytes(text).ok(), expected);
    }

    #[test_case("25%", Some(0.25))]
    #[test_case("0.25", Some(0.25))]
    #[test_case("125%", None)]
    fn shares_are_at_most_the_whole(text: &str, expected: Option<f64>) {
        assert_eq!(super::share(text).ok(), expected);
    }
}
