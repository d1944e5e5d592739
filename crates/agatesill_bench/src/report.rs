//! Report of a scenario: a self-contained HTML page with plots, and a CSV file.

mod plot;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

use crate::result::{SeedResult, Series};
use crate::scenario::Scenario;
use crate::verdict::Verdict;

/// Inline styles, so that the page loads no external resources.
const STYLE: &str = "body{font:15px sans-serif;max-width:70em;margin:2em auto;padding:0 1em}\
     table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;border:1px solid #ccc;\
     text-align:right}td:first-child,th:first-child{text-align:left}.ok{color:#070}\
     .failed{color:#b00;font-weight:bold}svg{max-width:100%;height:auto}";

/// Writes `NAME.html` and `NAME.csv` into `folder`.
pub fn write(
    folder: &Path,
    scenario: &Scenario,
    results: &[SeedResult],
    verdicts: &[Verdict],
) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join(format!("{}.csv", scenario.name)), csv(scenario, results))?;
    let page = page(scenario, results, verdicts).map_err(std::io::Error::other)?;
    std::fs::write(folder.join(format!("{}.html", scenario.name)), page)
}

fn csv(scenario: &Scenario, results: &[SeedResult]) -> String {
    let mut csv = String::from("scenario,seed,policy,figure,value\n");
    for result in results {
        for policy in &result.policies {
            for (figure, value) in &policy.figures {
                let _ = writeln!(
                    csv,
                    "{},{},{},{figure},{value}",
                    scenario.name, result.seed, policy.policy
                );
            }
        }
    }
    csv
}

fn page(
    scenario: &Scenario,
    results: &[SeedResult],
    verdicts: &[Verdict],
) -> Result<String, std::fmt::Error> {
    let mut page = String::new();
    write!(page, "<!doctype html><meta charset=utf-8><title>{}</title>", escape(scenario.name))?;
    write!(page, "<style>{STYLE}</style><h1>{}</h1>", escape(scenario.name))?;
    write!(page, "<p><b>Load:</b> {}</p>", escape(scenario.pattern))?;
    write!(page, "<p><b>Bounds:</b> {}</p>", escape(scenario.bounds))?;
    let seeds: Vec<String> = results.iter().map(|result| result.seed.to_string()).collect();
    write!(page, "<p><b>Seeds:</b> {}</p>", seeds.join(", "))?;
    verdict_table(&mut page, verdicts)?;
    figure_table(&mut page, results)?;
    for (name, lines) in plots(results) {
        write!(page, "<h2>{}</h2>", escape(&name))?;
        match plot::svg(&lines) {
            Ok(svg) => page.push_str(&svg),
            Err(error) => write!(page, "<p class=failed>plot failed: {}</p>", escape(&error))?,
        }
    }
    Ok(page)
}

fn verdict_table(page: &mut String, verdicts: &[Verdict]) -> std::fmt::Result {
    page.push_str("<h2>Checks</h2><table><tr><th>check<th>median<th>worst<th>seed<th>bound<th>");
    for verdict in verdicts {
        let (class, word) = if verdict.passed { ("ok", "ok") } else { ("failed", "FAILED") };
        let sign = if verdict.at_most { "&le;" } else { "&ge;" };
        write!(
            page,
            "<tr><td>{}<td>{:.4}<td>{:.4}<td>{}<td>{sign} {}<td class={class}>{word}",
            escape(&verdict.name),
            verdict.median,
            verdict.worst,
            verdict.worst_seed,
            verdict.bound
        )?;
    }
    page.push_str("</table>");
    Ok(())
}

/// Adds the medians over the seeds, with one column per policy.
fn figure_table(page: &mut String, results: &[SeedResult]) -> std::fmt::Result {
    let Some(first) = results.first() else { return Ok(()) };
    let mut figures: Vec<&str> = Vec::new();
    for figure in first.policies.iter().flat_map(|policy| policy.figures.keys()) {
        if !figures.contains(&figure.as_str()) {
            figures.push(figure);
        }
    }
    page.push_str("<h2>Figures by policy (medians over the seeds)</h2><table><tr><th>figure");
    for policy in &first.policies {
        write!(page, "<th>{}", escape(&policy.policy))?;
    }
    for figure in figures {
        write!(page, "<tr><td>{}", escape(figure))?;
        for policy in &first.policies {
            match median(results, &policy.policy, figure) {
                Some(value) => write!(page, "<td>{value:.3}")?,
                None => page.push_str("<td>-"),
            }
        }
    }
    page.push_str("</table>");
    Ok(())
}

fn median(results: &[SeedResult], policy: &str, figure: &str) -> Option<f64> {
    let mut values: Vec<f64> = results
        .iter()
        .flat_map(|result| &result.policies)
        .filter(|one| one.policy == policy)
        .filter_map(|one| one.figures.get(figure).copied())
        .collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Lines of the first seed by plot, each with the name of its policy.
fn plots(results: &[SeedResult]) -> BTreeMap<String, Vec<(&str, &Series)>> {
    let mut plots: BTreeMap<String, Vec<(&str, &Series)>> = BTreeMap::new();
    for policy in results.first().into_iter().flat_map(|result| &result.policies) {
        for series in &policy.series {
            plots.entry(series.plot.clone()).or_default().push((&policy.policy, series));
        }
    }
    plots
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
