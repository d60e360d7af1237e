//! Report of a scenario, as text or JSON.

use serde::Serialize;
use serde_json::Value;

use super::options::BenchOptions;
use super::plot::PlotChart;

/// A table of the report.
#[derive(Clone, Debug, Serialize)]
pub struct ReportTable {
    /// Line above the table.
    pub title: String,
    /// Column headers.
    pub columns: Vec<String>,
    /// Rows with one cell per column.
    pub rows: Vec<Vec<String>>,
}

impl ReportTable {
    /// Creates a table without rows.
    pub fn new(title: &str, columns: &[&str]) -> Self {
        let columns = columns.iter().map(|&column| column.to_owned()).collect();
        Self { title: title.to_owned(), columns, rows: Vec::new() }
    }

    /// Appends a row.
    pub fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Returns the table in Markdown, with columns of equal width.
    pub fn to_markdown(&self) -> String {
        let lines = || std::iter::once(&self.columns).chain(&self.rows);
        let width = |column: usize| {
            let cells = lines().filter_map(|cells| cells.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..self.columns.len()).map(width).collect();
        let mut text = format!("{}\n\n", self.title);
        for (index, cells) in lines().enumerate() {
            for (cell, width) in cells.iter().zip(&widths) {
                text += &format!("| {cell:width$} ");
            }
            text += "|\n";
            if index == 0 {
                let rules = widths.iter().map(|width| format!("|{}", "-".repeat(width + 2)));
                text += &rules.collect::<String>();
                text += "|\n";
            }
        }
        text
    }
}

/// Report of one run of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct BenchReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Duration of the load in seconds.
    pub seconds: u64,
    /// Results for other programs, in a form that depends on the scenario.
    pub figures: Value,
    /// Results as tables.
    pub tables: Vec<ReportTable>,
    /// Chart that is drawn with `--plot`.
    #[serde(skip)]
    pub chart: PlotChart,
}

impl BenchReport {
    /// Prints the report and draws its plot.
    pub(super) fn print(&self, options: &BenchOptions) -> eyre::Result<()> {
        let load_average = load_average();
        if options.json {
            let mut report = serde_json::to_value(self)?;
            report["load-average"] = load_average.into();
            println!("{report:#}");
        } else {
            let load = load_average.map_or("unknown".to_owned(), |load| load.to_string());
            println!(
                "{} (seed {}, {} s, load average of the machine {load})\n",
                self.scenario, self.seed, self.seconds
            );
            for table in &self.tables {
                println!("{}", table.to_markdown());
            }
        }
        if let Some(file) = &options.plot {
            self.chart.draw(file)?;
        }
        Ok(())
    }
}

/// Reads the machine's load average over the last minute. Other work on the machine increases
/// latencies, so that results are only comparable at similar load averages.
fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}
