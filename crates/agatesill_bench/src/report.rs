//! A self-contained page with plots, and a CSV beside it.

use std::path::Path;

use crate::judge::Verdict;
use crate::result::SeedResult;
use crate::scenario::Scenario;

/// Writes `NAME.csv` into `folder`.
pub fn write(
    folder: &Path,
    scenario: &Scenario,
    results: &[SeedResult],
    _verdicts: &[Verdict],
) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let mut csv = String::from("scenario,seed,policy,figure,value\n");
    for result in results {
        for policy in &result.policies {
            for (figure, value) in &policy.figures {
                let row = format!(
                    "{},{},{},{figure},{value}\n",
                    scenario.name, result.seed, policy.policy
                );
                csv.push_str(&row);
            }
        }
    }
    std::fs::write(folder.join(format!("{}.csv", scenario.name)), csv)
}
