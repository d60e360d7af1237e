//! Plots as SVG files.

use std::path::Path;

use eyre::{WrapErr, eyre};
use plotters::prelude::*;

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 500);

/// A line of a chart.
#[derive(Clone, Debug)]
pub struct PlotLine {
    /// Name in the legend.
    pub name: String,
    /// Points from left to right.
    pub points: Vec<(f64, f64)>,
}

/// A chart of lines.
#[derive(Clone, Debug, Default)]
pub struct PlotChart {
    /// Caption above the plot.
    pub title: String,
    /// Name and unit of the horizontal axis.
    pub x_label: String,
    /// Name and unit of the vertical axis.
    pub y_label: String,
    /// Lines in the order of the legend.
    pub lines: Vec<PlotLine>,
}

impl PlotChart {
    /// Draws the chart into an SVG file.
    pub fn draw(&self, file: &Path) -> eyre::Result<()> {
        let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
        self.draw_on(&area).wrap_err_with(|| format!("cannot draw {}", file.display()))
    }

    fn draw_on(
        &self,
        area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    ) -> eyre::Result<()> {
        // The backend's error type cannot be converted into a report.
        let failed = |error: &dyn std::fmt::Display| eyre!("{error}");
        area.fill(&WHITE).map_err(|error| failed(&error))?;
        let points = || self.lines.iter().flat_map(|line| &line.points);
        let right = points().map(|point| point.0).fold(f64::EPSILON, f64::max);
        let top = points().map(|point| point.1).fold(f64::EPSILON, f64::max);
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..right, 0.0..top * 1.05)
            .map_err(|error| failed(&error))?;
        chart
            .configure_mesh()
            .x_desc(&self.x_label)
            .y_desc(&self.y_label)
            .draw()
            .map_err(|error| failed(&error))?;
        for (index, line) in self.lines.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(2));
            chart
                .draw_series(series)
                .map_err(|error| failed(&error))?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(|error| failed(&error))?;
        area.present().map_err(|error| failed(&error))
    }
}
