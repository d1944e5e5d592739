//! Validates submitted jobs against fixed bounds and the configuration. Errors name the field and
//! the limit.

use agatesill_policy::prelude::*;
use agatesill_wire::jobs::JOB_BOUNDS;
use agatesill_wire::prelude::*;

/// Validates `job`. [`ErrorKind::BadRequest`] names the field and the allowed values.
pub fn validate(job: &JobSpec, doc: &ConfigDoc) -> Result<(), Error> {
    check_id(&job.id)?;
    check_range("tasks", u64::from(job.tasks), 1, u64::from(JOB_BOUNDS.max_tasks))?;
    check_range("run_ms", job.run_ms, 1, JOB_BOUNDS.max_run_ms)?;
    check_range("deadline_ms", job.deadline_ms, 0, JOB_BOUNDS.max_deadline_ms)?;
    check_range("need.cpu_milli", job.need.cpu_milli, 1, u64::from(u32::MAX))?;
    check_range("need.memory_mb", job.need.memory_mb, 1, u64::from(u32::MAX))?;
    if !doc.teams.contains_key(&job.team) {
        return Err(unknown_name("team", &job.team, "a configured team", doc.teams.keys()));
    }
    let batch = |name: &&String| doc.profiles[*name].class == ProfileClass::Batch;
    if !doc.profiles.keys().filter(batch).any(|name| *name == job.profile) {
        let names = doc.profiles.keys().filter(batch);
        return Err(unknown_name("profile", &job.profile, "a profile of class batch", names));
    }
    if job.after.contains(&job.id) {
        return Err(Error::new(ErrorKind::BadRequest, "after: the job cannot wait for itself"));
    }
    Ok(())
}

fn check_id(id: &str) -> Result<(), Error> {
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || "._-".contains(character);
    if !id.is_empty() && id.len() <= JOB_BOUNDS.max_id_bytes && id.chars().all(is_allowed) {
        return Ok(());
    }
    let message = format!(
        "id: {id:?} is not 1..={} letters, digits, dots, dashes and underscores",
        JOB_BOUNDS.max_id_bytes
    );
    Err(Error::new(ErrorKind::BadRequest, message))
}

fn check_range(field: &str, value: u64, min: u64, max: u64) -> Result<(), Error> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(Error::new(ErrorKind::BadRequest, format!("{field}: {value} is outside {min}..={max}")))
}

fn unknown_name<'a>(
    field: &str,
    value: &str,
    expected: &str,
    known: impl Iterator<Item = &'a String>,
) -> Error {
    let known: Vec<&str> = known.map(String::as_str).collect();
    let message = format!("{field}: {value:?} is not {expected}; there are {}", known.join(", "));
    Error::new(ErrorKind::BadRequest, message)
}
