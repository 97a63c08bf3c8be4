//! Text tables with aligned columns.

/// Returns a title, a header line and rows as text with aligned columns.
pub(crate) fn render(title: &str, header: &[&str], rows: &[Vec<String>]) -> String {
    let mut lines = vec![
        header
            .iter()
            .map(|cell| (*cell).to_owned())
            .collect::<Vec<_>>(),
    ];
    lines.extend(rows.iter().cloned());
    let widths: Vec<usize> = (0..header.len())
        .map(|column| {
            let cells = lines.iter().filter_map(|line| line.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        })
        .collect();
    let mut text = format!("{title}\n");
    for line in lines {
        let cells = line.iter().zip(&widths);
        let padded: Vec<_> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str("  ");
        text.push_str(padded.join("  ").trim_end());
        text.push('\n');
    }
    text
}
