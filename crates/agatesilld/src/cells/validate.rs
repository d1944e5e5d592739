//! Checks of a submitted job against bounds and the configuration, with the field and the limit.

use agatesill_policy::prelude::*;
use agatesill_wire::jobs::JOB_BOUNDS;
use agatesill_wire::prelude::*;

/// Checks `job`; [`ErrorKind::BadRequest`] names the field and what it may be.
pub fn validate(job: &JobSpec, doc: &ConfigDoc) -> Result<(), Error> {
    check_id(&job.id)?;
    within("tasks", u64::from(job.tasks), 1, u64::from(JOB_BOUNDS.max_tasks))?;
    within("run_ms", job.run_ms, 1, JOB_BOUNDS.max_run_ms)?;
    within("deadline_ms", job.deadline_ms, 0, JOB_BOUNDS.max_deadline_ms)?;
    within("need.cpu_milli", job.need.cpu_milli, 1, u64::from(u32::MAX))?;
    within("need.memory_mb", job.need.memory_mb, 1, u64::from(u32::MAX))?;
    if !doc.teams.contains_key(&job.team) {
        return Err(bad("team", &job.team, "a configured team", doc.teams.keys()));
    }
    let batch = |name: &&String| doc.profiles[*name].class == ProfileClass::Batch;
    if !doc.profiles.keys().filter(batch).any(|name| *name == job.profile) {
        let names = doc.profiles.keys().filter(batch);
        return Err(bad("profile", &job.profile, "a profile of class batch", names));
    }
    if job.after.contains(&job.id) {
        return Err(Error::new(ErrorKind::BadRequest, "after: the job cannot wait for itself"));
    }
    Ok(())
}

fn check_id(id: &str) -> Result<(), Error> {
    let fine = |one: char| one.is_ascii_alphanumeric() || "._-".contains(one);
    if !id.is_empty() && id.len() <= JOB_BOUNDS.max_id_bytes && id.chars().all(fine) {
        return Ok(());
    }
    let what = format!(
        "id: {id:?} is not 1..={} letters, digits, dots, dashes and underscores",
        JOB_BOUNDS.max_id_bytes
    );
    Err(Error::new(ErrorKind::BadRequest, what))
}

fn within(field: &str, value: u64, least: u64, most: u64) -> Result<(), Error> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(Error::new(ErrorKind::BadRequest, format!("{field}: {value} is outside {least}..={most}")))
}

fn bad<'a>(
    field: &str,
    value: &str,
    wanted: &str,
    known: impl Iterator<Item = &'a String>,
) -> Error {
    let known: Vec<&str> = known.map(String::as_str).collect();
    let what = format!("{field}: {value:?} is not {wanted}; there are {}", known.join(", "));
    Error::new(ErrorKind::BadRequest, what)
}
