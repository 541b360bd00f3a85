use rhubarbfall_core::{ResultCode, ServiceId, TeamId};
use rhubarbfall_document::{Document, KeyOwner, Pepper, QueueAccess, digest_key};

use super::CallerRequest;

/// The team that a request counts for, and the service that runs it.
#[derive(Debug, Clone)]
pub(super) struct Authorized {
    pub(super) team: TeamId,
    pub(super) service: ServiceId,
}

/// Decides whether a request may use its queue.
///
/// `is_fresh` states whether the document is known to be the newest. Otherwise queues that require
/// a key reject the request, since the key may have been revoked.
pub(super) fn authorize(
    document: &Document,
    pepper: &Pepper,
    is_fresh: bool,
    request: &CallerRequest,
) -> Result<Authorized, ResultCode> {
    let queue = document
        .queue(&request.queue)
        .ok_or(ResultCode::UnknownQueue)?;
    let allowed = match &queue.access {
        QueueAccess::OpenAs(team) => {
            return Ok(Authorized {
                team: team.clone(),
                service: queue.service.clone(),
            });
        }
        QueueAccess::Teams(teams) => teams,
    };
    let key = request.key.as_ref().ok_or(ResultCode::KeyMissing)?;
    if !is_fresh {
        return Err(ResultCode::ConfigurationStale);
    }
    let granted = document
        .key(&digest_key(pepper, key))
        .ok_or(ResultCode::KeyRefused)?;
    let KeyOwner::Team(team) = &granted.owner else {
        return Err(ResultCode::KeyRefused);
    };
    if !allowed.contains(team) {
        return Err(ResultCode::TeamNotAllowed);
    }
    Ok(Authorized {
        team: team.clone(),
        service: queue.service.clone(),
    })
}
