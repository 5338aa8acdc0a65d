//! Plots the load stall by workload and policy.

use plotters::prelude::BLACK;
use plotters::prelude::BLUE;
use plotters::prelude::ChartBuilder;
use plotters::prelude::GREEN;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::IntoLogRange;
use plotters::prelude::LineSeries;
use plotters::prelude::RED;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;
use serde_json::Value;

/// Writes an SVG plot of the load stall of each policy for each workload in `rows`.
pub fn draw(file: &str, rows: &[Value]) -> Result<(), String> {
    let canvas = SVGBackend::new(file, (1100, 560)).into_drawing_area();
    let workloads = workload_labels(rows);
    let range = (1.0..1e10).log_scale();
    canvas.fill(&WHITE).map_err(|error| error.to_string())?;
    let mut chart = ChartBuilder::on(&canvas)
        .caption("load stall, sum over the run (ms)", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(110)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..workloads.len() as f64, range)
        .map_err(|error| error.to_string())?;
    let label = |position: &f64| workloads.get(*position as usize).cloned().unwrap_or_default();
    chart
        .configure_mesh()
        .x_labels(workloads.len())
        .x_label_formatter(&label)
        .x_label_style(("sans-serif", 11))
        .draw()
        .map_err(|error| error.to_string())?;

    for (policy, color) in
        [("ours", BLUE), ("rendezvous", GREEN), ("random", RED), ("bound", BLACK)]
    {
        let points = workloads.iter().enumerate().filter_map(|(index, workload)| {
            let row = rows
                .iter()
                .find(|row| workload_label(row) == *workload && row["policy"] == policy)?;
            Some((index as f64, row["stall_sum_ms"].as_f64()?.max(1.0)))
        });
        let line = LineSeries::new(points, &color);
        let series = chart.draw_series(line).map_err(|error| error.to_string())?;
        series.label(policy).legend(move |(x, y)| {
            plotters::prelude::PathElement::new(vec![(x, y), (x + 20, y)], color)
        });
    }
    let mut legend = chart.configure_series_labels();
    legend.border_style(BLACK).draw().map_err(|error| error.to_string())?;
    canvas.present().map_err(|error| error.to_string())
}

/// Returns the labels of the workloads in `rows`, without duplicates.
fn workload_labels(rows: &[Value]) -> Vec<String> {
    let mut labels: Vec<String> = Vec::new();
    for row in rows {
        if !labels.contains(&workload_label(row)) {
            labels.push(workload_label(row));
        }
    }
    labels
}

/// Returns the label of a row: the first three letters of the deployment, and the workload.
fn workload_label(row: &Value) -> String {
    let text = |key: &str| row[key].as_str().unwrap_or_default().to_owned();
    format!("{} {}", &text("deployment")[..3], text("workload"))
}
