//! Operator requests to the fleet: waves, plans, moves and explanations.

use std::str::FromStr;
use std::time::UNIX_EPOCH;

use rhubarbfall_core::{ResultCode, WaveId};
use rhubarbfall_document::api::OperatorErrorResponse;
use rhubarbfall_fleet::api::{Explanation, VmMove, WaveStatusChange, WaveView};
use rhubarbfall_fleet::{AnnouncementState, PlannedVm, Rows, Subject, WaveRow};
use rhubarbfall_platform::PlatformError;
use rhubarbfall_platform::table::{Transaction, TransactionId};
use serde::Serialize;

use super::plan_waves::plan_waves;
use super::read_rows::{read_announcements, read_rows};
use crate::Shared;

/// Lists the waves that have a row, with the progress of their announcements.
pub(super) async fn list_waves(shared: &Shared) -> Result<Vec<WaveView>, OperatorErrorResponse> {
    let rows = read_rows(shared)
        .await
        .map_err(|error| platform_error(&error))?;
    let announcements = read_announcements(shared)
        .await
        .map_err(|error| platform_error(&error))?;
    let view = |row: &WaveRow| {
        let count = |is_counted: fn(AnnouncementState) -> bool| {
            let own = announcements.iter().filter(|found| found.wave == row.wave);
            own.filter(|found| is_counted(found.state)).count() as u32
        };
        WaveView {
            row: row.clone(),
            announced_vms: count(|state| state == AnnouncementState::Announced),
            rebooting_vms: count(|state| {
                matches!(
                    state,
                    AnnouncementState::Permitted | AnnouncementState::Rebooting
                )
            }),
            rebooted_vms: count(|state| state == AnnouncementState::Done),
        }
    };
    Ok(rows.waves.values().map(|row| view(&row.value)).collect())
}

/// Plans one wave in all zones.
pub(super) async fn plan_wave(
    shared: &Shared,
    wave: &str,
) -> Result<Vec<PlannedVm>, OperatorErrorResponse> {
    let wave: WaveId = parse(wave)?;
    let mut plan = all_plans(shared).await?;
    plan.retain(|planned| planned.wave == wave);
    Ok(plan)
}

async fn all_plans(shared: &Shared) -> Result<Vec<PlannedVm>, OperatorErrorResponse> {
    let plan = plan_waves(shared, now_unix_ms(shared)).await;
    plan.map_err(|error| platform_error(&error))
}

/// Sets a wave's status; fails if the wave's row changes meanwhile.
pub(super) async fn change_status(
    shared: &Shared,
    body: &[u8],
) -> Result<WaveRow, OperatorErrorResponse> {
    let change: WaveStatusChange = from_json(body)?;
    let rows = read_rows(shared)
        .await
        .map_err(|error| platform_error(&error))?;
    let known = rows.waves.get(&change.wave);
    let known = known.ok_or_else(|| OperatorErrorResponse::new(ResultCode::NotFound))?;
    let mut row = known.value.clone();
    row.status = change.status;
    let key = format!("wave/{}", change.wave);
    write(shared, &key, known.version, &row).await?;
    Ok(row)
}

/// Requests a move of a VM, which the lease holder of its zone carries out.
pub(super) async fn request_move(
    shared: &Shared,
    body: &[u8],
) -> Result<VmMove, OperatorErrorResponse> {
    let change: VmMove = from_json(body)?;
    let document = shared.document.load_full();
    let document = document.ok_or_else(|| OperatorErrorResponse::new(ResultCode::NotReady))?;
    let rows = read_rows(shared)
        .await
        .map_err(|error| platform_error(&error))?;
    let known = rows.vms.get(&change.vm);
    let known = known.filter(|_| document.pool(&change.pool).is_some());
    let known = known.ok_or_else(|| OperatorErrorResponse::new(ResultCode::NotFound))?;
    let mut row = known.value.clone();
    row.wanted_pool = Some(change.pool.clone());
    let key = format!("vm/{}", change.vm);
    let written = write(shared, &key, known.version, &row).await;
    written.map_err(|error| match error.code {
        ResultCode::ConditionFailed => OperatorErrorResponse::new(ResultCode::GenerationConflict),
        _ => error,
    })?;
    Ok(change)
}

/// Returns the row of one subject, its plan and the decisions recorded by this process.
pub(super) async fn explanation(
    shared: &Shared,
    kind: &str,
    id: &str,
) -> Result<Explanation, OperatorErrorResponse> {
    let subject = parse_subject(kind, id)?;
    let rows = read_rows(shared)
        .await
        .map_err(|error| platform_error(&error))?;
    let mut plan = all_plans(shared).await.unwrap_or_default();
    plan.retain(|planned| match &subject {
        Subject::Vm(vm) => planned.vm == *vm,
        Subject::Pool(pool) => planned.pool == *pool,
        Subject::Wave(wave) => planned.wave == *wave,
        Subject::Team(_) => false,
    });
    let dump = shared.fleet.dump();
    let decisions = dump.decisions.into_iter();
    let own = decisions.filter(|(found, _)| *found == subject);
    Ok(Explanation {
        decisions: own.flat_map(|(_, list)| list).collect(),
        plan,
        ..describe_rows(&rows, subject)
    })
}

fn describe_rows(rows: &Rows, subject: Subject) -> Explanation {
    let (mut vm, mut pool, mut wave) = (None, None, None);
    match &subject {
        Subject::Vm(id) => vm = rows.vms.get(id).map(|row| row.value.clone()),
        Subject::Pool(id) => pool = rows.pools.get(id).map(|row| row.value.clone()),
        Subject::Wave(id) => wave = rows.waves.get(id).map(|row| row.value.clone()),
        Subject::Team(_) => {}
    }
    Explanation {
        subject,
        vm,
        pool,
        wave,
        plan: Vec::new(),
        decisions: Vec::new(),
    }
}

fn parse_subject(kind: &str, id: &str) -> Result<Subject, OperatorErrorResponse> {
    match kind {
        "vm" => parse(id).map(Subject::Vm),
        "pool" => parse(id).map(Subject::Pool),
        "wave" => parse(id).map(Subject::Wave),
        "team" => parse(id).map(Subject::Team),
        other => Err(bad_request(&format!(
            "kind {other:?} must be vm, pool, team or wave"
        ))),
    }
}

async fn write(
    shared: &Shared,
    key: &str,
    version: rhubarbfall_core::RowVersion,
    value: &impl Serialize,
) -> Result<(), OperatorErrorResponse> {
    let value = serde_json::to_value(value).map_err(|error| bad_request(&error.to_string()))?;
    let writer = format!("operator-{}-{key}", shared.settings.entry.id);
    let id = TransactionId::new(writer, now_unix_ms(shared), version.get());
    let transaction = Transaction::new(id).expect(key, version).put(key, value);
    let committed = shared.table.commit(&transaction).await;
    committed.map(drop).map_err(|error| platform_error(&error))
}

fn parse<T: FromStr<Err: ToString>>(text: &str) -> Result<T, OperatorErrorResponse> {
    text.parse()
        .map_err(|error: T::Err| bad_request(&error.to_string()))
}

fn from_json<'a, T: serde::Deserialize<'a>>(body: &'a [u8]) -> Result<T, OperatorErrorResponse> {
    serde_json::from_slice(body).map_err(|error| bad_request(&error.to_string()))
}

fn bad_request(message: &str) -> OperatorErrorResponse {
    OperatorErrorResponse::new(ResultCode::BadRequest).message(message)
}

fn platform_error(error: &PlatformError) -> OperatorErrorResponse {
    OperatorErrorResponse::new(error.code()).message(error.to_string())
}

fn now_unix_ms(shared: &Shared) -> u64 {
    let since = shared.clock.wall_time().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
