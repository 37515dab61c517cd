//! Plots the times to the first token of a load run.

use std::error::Error;

use plotters::prelude::*;

use super::report::Report;

const SIZE_PIXELS: (u32, u32) = (900, 560);

/// Writes an SVG plot of the p95 time to the first token by prompt length, one line per policy.
pub fn write(report: &Report, file: &str) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(file, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(
            (1_000.0..2_500_000.0_f64).log_scale(),
            (1.0..200_000.0_f64).log_scale(),
        )?;
    chart
        .configure_mesh()
        .x_desc("prompt length, tokens")
        .y_desc("p95 time to first token, ms")
        .draw()?;
    for (index, run) in report.runs.iter().enumerate() {
        let non_empty = run.buckets.iter().filter(|bucket| bucket.requests > 0);
        let points: Vec<_> = non_empty
            .map(|bucket| {
                #[allow(clippy::cast_precision_loss)]
                let tokens = bucket.tokens_up_to as f64;
                (tokens, bucket.ttft_ms.p95.max(1.0))
            })
            .collect();
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points.clone(), color.stroke_width(2)))?
            .label(run.policy.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
        chart.draw_series(
            points
                .iter()
                .map(|point| Circle::new(*point, 4, color.filled())),
        )?;
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
