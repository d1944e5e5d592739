//! Plots as SVG.

use plotters::prelude::*;

use crate::result::Series;

/// Width and height in pixels.
const SIZE: (u32, u32) = (960, 420);

/// Renders one plot with the lines, each labelled with its policy.
pub fn svg(lines: &[(&str, &Series)]) -> Result<String, String> {
    let mut text = String::new();
    draw(&mut text, lines).map_err(|error| error.to_string())?;
    Ok(text)
}

fn draw(text: &mut String, lines: &[(&str, &Series)]) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|(_, series)| series.points.iter());
    let (x_min, x_max) = range(points().map(|point| point.0));
    let (y_min, y_max) = range(points().map(|point| point.1));
    let (x_label, y_label) = lines
        .first()
        .map_or(("", ""), |(_, series)| (series.x_label.as_str(), series.y_label.as_str()));
    let root = SVGBackend::with_string(text, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(x_min..x_max, y_min.min(0.0)..y_max)?;
    chart.configure_mesh().x_desc(x_label).y_desc(y_label).light_line_style(WHITE).draw()?;
    for (index, (policy, series)) in lines.iter().enumerate() {
        let style = Palette99::pick(index).stroke_width(if index == 0 { 3 } else { 1 });
        let line = LineSeries::new(series.points.iter().copied(), style);
        chart.draw_series(line)?.label(*policy).legend(move |(x, y)| {
            PathElement::new([(x, y), (x + 18, y)], Palette99::pick(index).stroke_width(3))
        });
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    root.present()?;
    Ok(())
}

/// Minimum and maximum of the finite values, widened by one if they are equal; (0, 1) without
/// values.
fn range(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let (min, max) = values
        .filter(|value| value.is_finite())
        .fold((f64::MAX, f64::MIN), |(min, max), value| (min.min(value), max.max(value)));
    match (min <= max, min < max) {
        (false, _) => (0.0, 1.0),
        (_, false) => (min, min + 1.0),
        _ => (min, max),
    }
}
