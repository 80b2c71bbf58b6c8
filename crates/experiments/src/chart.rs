//! SVG charts over time.

use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};

use crate::{scenario::Scenario, trial::Trial};

/// Width and height of a chart in pixels.
const SIZE_PX: (u32, u32) = (800, 320);

/// One line of a chart: its name and one value for each second.
type Series = (String, Vec<f64>);

/// Draws the share of answered requests and the load imbalance for each second.
///
/// # Errors
///
/// If a chart cannot be written.
pub fn draw(scenario: &Scenario, trials: &[Trial], out: &Path) -> anyhow::Result<()> {
    let answered = |trial: &Trial| -> Series {
        let seconds = trial.metrics.seconds.iter();
        let share = seconds.map(|s| s.answered as f64 / s.made.max(1) as f64);
        (format!("{:?}", trial.policy), share.collect())
    };
    let imbalance = |trial: &Trial| -> Series {
        (
            format!("{:?}", trial.policy),
            trial.metrics.imbalance.clone(),
        )
    };
    let file = |what: &str| out.join(format!("{}-{what}.svg", scenario.name));
    let series: Vec<_> = trials.iter().map(answered).collect();
    plot(
        &file("answered"),
        "share of requests answered, by second of arrival",
        &series,
    )?;
    let series: Vec<_> = trials.iter().map(imbalance).collect();
    plot(
        &file("imbalance"),
        "running requests, highest over mean, by second",
        &series,
    )
}

fn plot(file: &Path, title: &str, series: &[Series]) -> anyhow::Result<()> {
    let seconds = series
        .iter()
        .map(|(_, values)| values.len())
        .max()
        .unwrap_or(0);
    let highest = series
        .iter()
        .flat_map(|(_, values)| values)
        .copied()
        .fold(1.0, f64::max);
    let area = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16).into_font())
        .margin(10)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..highest * 1.05)?;
    chart.configure_mesh().x_desc("s").draw()?;
    for (index, (name, values)) in series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let points = values
            .iter()
            .enumerate()
            .map(|(second, &value)| (second as f64, value));
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}
