//! Compares the table of docs/CAPACITY.md with the rows that the command prints.

use lycheedoor_bench::slopes;
use lycheedoor_bench::slopes::TABLE_END;
use lycheedoor_bench::slopes::TABLE_START;

/// Guards against figures on the page that are out of date with the code. Rows that depend on the
/// machine are compared without their values.
#[test]
fn page_shows_the_rows_that_the_command_prints() {
    let page = include_str!("../../../docs/CAPACITY.md");
    let (_, rest) = page.split_once(TABLE_START).unwrap();
    let (table, _) = rest.split_once(TABLE_END).unwrap();
    let lines: Vec<&str> = table.lines().filter(|line| line.starts_with('|')).collect();
    let mut shown = lines.iter().skip(2);
    for row in slopes::counted_rows() {
        let line = shown.next().copied().unwrap_or_default();
        assert_eq!(line, row.line(), "run `lycheedoor-bench slopes --update`");
    }
    for label in slopes::timed_labels() {
        let line = shown.next().copied().unwrap_or_default();
        assert!(line.starts_with(&label), "{line} is not {label}");
    }
    assert_eq!(shown.next(), None);
}
