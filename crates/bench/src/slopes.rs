//! The table of capacity slopes and its rows.

mod objects;
pub mod traffic;
pub mod work;

use crate::fit::fit;

/// The marker line that precedes the table on a page.
pub const TABLE_START: &str = "<!-- slopes: start -->";
/// The marker line that follows the table on a page.
pub const TABLE_END: &str = "<!-- slopes: end -->";

/// One measure at increasing sizes.
#[derive(Clone, Debug)]
pub struct Row {
    /// The role or component that is measured.
    pub role: &'static str,
    /// The name of the measure, with its unit.
    pub measure: String,
    /// The size that increases.
    pub against: &'static str,
    /// Pairs of size and measured value.
    pub points: Vec<(f64, f64)>,
}

impl Row {
    fn new(
        role: &'static str,
        measure: impl Into<String>,
        against: &'static str,
        points: Vec<(f64, f64)>,
    ) -> Self {
        Self {
            role,
            measure: measure.into(),
            against,
            points,
        }
    }

    /// Returns the row as a line of the Markdown table, with the slope fitted through its points.
    pub fn line(&self) -> String {
        let line = fit(&self.points);
        format!(
            "| {} | {} | {} | {} | {} | {} | {} | {:.1}% |",
            self.role,
            self.measure,
            self.against,
            join(self.points.iter().map(|(size, _)| *size)),
            join(self.points.iter().map(|(_, value)| *value)),
            number(line.slope),
            number(line.intercept),
            line.residual * 100.0,
        )
    }
}

fn join(values: impl Iterator<Item = f64>) -> String {
    values.map(number).collect::<Vec<_>>().join(", ")
}

/// Formats a value with about four significant digits, which is more than the precision of the
/// measures.
fn number(value: f64) -> String {
    let size = value.abs();
    if size == 0.0 || (1_000.0..1e9).contains(&size) {
        format!("{value:.0}")
    } else if size >= 100.0 {
        format!("{value:.1}")
    } else if size >= 1.0 {
        format!("{value:.2}")
    } else {
        format!("{value:.4}")
    }
}

/// Returns the rows whose values are the same on every machine.
pub fn counted_rows() -> Vec<Row> {
    let mut rows = objects::rows();
    rows.extend(traffic::rows());
    rows
}

/// Returns the rows that are too slow for a test, or that depend on the machine and the build.
pub fn timed_rows() -> Vec<Row> {
    work::rows()
}

/// Returns the first cells of the line of each row of `timed_rows`, without measuring anything.
pub fn timed_labels() -> Vec<String> {
    let label = |measure: &work::Measure| {
        let sizes = join(measure.sizes.iter().map(|size| *size as f64));
        let cells = [measure.role, measure.name, measure.against, &sizes];
        format!("| {} |", cells.join(" | "))
    };
    work::MEASURES.iter().map(label).collect()
}

/// Returns the rows as a Markdown table with a header.
pub fn table(rows: &[Row]) -> String {
    let head = "| role | measure | against | sizes | values | slope | at zero | residual |\n\
                | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    let lines = rows.iter().map(|row| row.line() + "\n");
    head.to_owned() + &lines.collect::<String>()
}

/// Returns the page with the table between its markers replaced, or `None` if a marker is missing.
pub fn replace_table(page: &str, table: &str) -> Option<String> {
    let (before, rest) = page.split_once(TABLE_START)?;
    let (_, after) = rest.split_once(TABLE_END)?;
    Some(format!(
        "{before}{TABLE_START}\n\n{table}\n{TABLE_END}{after}"
    ))
}
