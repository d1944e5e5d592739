//! Outcomes of submissions in answers between daemons.

use agatesill_policy::admission::{Refusal, RefusalCause};
use agatesill_wire::fleet::{FleetAnswer, FleetRefusalCause, FleetWrite, RefusalReport};

use super::load_state::RefusedBecause;
use super::submission::{RefusedJob, Submission};

/// Encodes an outcome in the answer to a request to store a job.
pub fn encode(submission: &Submission, answer: &mut FleetAnswer) {
    let write = match submission {
        Submission::Stored { is_return } => {
            answer.is_return = *is_return;
            FleetWrite::Stored
        }
        Submission::Existed => FleetWrite::Existed,
        Submission::Refused(refused) => {
            answer.is_return = refused.is_return;
            answer.refusal = Some(encode_refused(refused));
            FleetWrite::Refused
        }
        Submission::Unknown => FleetWrite::Unknown,
        Submission::NotStored => FleetWrite::NotStored,
    };
    answer.write = write as i32;
}

/// Decodes the outcome of a request to store a job.
pub fn decode(answer: &FleetAnswer) -> Submission {
    let is_return = answer.is_return;
    match (answer.write(), &answer.refusal) {
        (FleetWrite::Stored, _) => Submission::Stored { is_return },
        (FleetWrite::Existed, _) => Submission::Existed,
        (FleetWrite::Refused, Some(report)) => {
            Submission::Refused(decode_refused(report, is_return))
        }
        (FleetWrite::Unknown, _) => Submission::Unknown,
        _ => Submission::NotStored,
    }
}

fn encode_refused(refused: &RefusedJob) -> RefusalReport {
    let cause = match refused.because {
        RefusedBecause::NoRoom => FleetRefusalCause::NoRoom,
        RefusedBecause::Early => FleetRefusalCause::Early,
    };
    let refusal = refused.refusal.as_ref();
    RefusalReport {
        cause: cause as i32,
        retry_after_ms: refused.retry_after_ms,
        forecast_ms: refusal.map_or(0, |refusal| refusal.forecast_ms),
        needed_milli: refusal.map_or(0, |refusal| refusal.needed_milli),
        left_milli: refusal.map_or(0, |refusal| refusal.left_milli),
    }
}

fn decode_refused(report: &RefusalReport, is_return: bool) -> RefusedJob {
    let cause = match report.cause() {
        FleetRefusalCause::NoRoom => Some(RefusalCause::NoRoom),
        FleetRefusalCause::Early => None,
    };
    let refusal = cause.map(|cause| Refusal {
        cause,
        retry_after_ms: report.retry_after_ms,
        forecast_ms: report.forecast_ms,
        needed_milli: report.needed_milli,
        left_milli: report.left_milli,
    });
    RefusedJob {
        because: cause.map_or(RefusedBecause::Early, RefusedBecause::from),
        retry_after_ms: report.retry_after_ms,
        refusal,
        is_return,
    }
}
