//! Tables of results, printed as aligned columns or as JSON.

pub(crate) struct Table {
    /// What was measured, with its parameters and seeds.
    pub(crate) title: String,
    /// Column titles.
    pub(crate) head: Vec<&'static str>,
    /// Rows, each with one cell per column title.
    pub(crate) rows: Vec<Vec<String>>,
}

impl Table {
    /// Prints the table with padded columns.
    pub(crate) fn print(&self) {
        let width = |i: usize| {
            let cells = self.rows.iter().map(|r| r[i].len());
            cells.chain([self.head[i].len()]).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..self.head.len()).map(width).collect();
        let print_row = |cells: &[String]| {
            let padded: Vec<String> = cells
                .iter()
                .zip(&widths)
                .map(|(c, w)| format!("{c:<w$}"))
                .collect();
            println!("{}", padded.join("  ").trim_end());
        };
        println!("{}", self.title);
        print_row(
            &self
                .head
                .iter()
                .map(|h| (*h).to_owned())
                .collect::<Vec<_>>(),
        );
        for row in &self.rows {
            print_row(row);
        }
    }

    /// Prints the table as one JSON object.
    pub(crate) fn print_json(&self) {
        let value = serde_json::json!({
            "title": self.title,
            "head": self.head,
            "rows": self.rows,
        });
        println!("{value}");
    }
}
