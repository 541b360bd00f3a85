//! Reads the sections of a document from TOML tables.

use std::str::FromStr;

use rhubarbfall_core::{
    Connections, LiteMap, QueueId, ServiceId, ShareWeight, Slots, TeamId, VmCount,
};

use crate::document_draft::DocumentDraft;
use crate::key_spec::KEY_OWNER_MESSAGE;
use crate::table_reader::{Findings, NamedValue, TableReader};
use crate::{
    FleetSection, KeyOwner, KeySpec, KeysSection, PoolSpec, QueueAccess, QueueSpec, Section,
    SectionId, ServiceSpec, TeamSection, TeamSpec,
};

/// Placeholder for a reference that could not be read, so that the rest of its item is still read.
const PLACEHOLDER_ID: &str = "unreadable";

pub(crate) fn read_draft(mut root: TableReader<'_>, findings: &mut Findings) -> DocumentDraft {
    let mut draft = DocumentDraft {
        revision: root.optional("revision", findings).unwrap_or_default(),
        ..DocumentDraft::default()
    };
    if let Some(mut versions) = root.table("versions", findings) {
        draft.versions = read_map(&mut versions, findings);
    }
    if let Some(fleet) = root.table("fleet", findings) {
        let section = Section::Fleet(read_fleet(fleet, findings));
        draft.sections.insert(SectionId::Fleet, section);
    }
    if let Some(keys) = root.table("keys", findings) {
        let section = Section::Keys(read_keys(keys, findings));
        draft.sections.insert(SectionId::Keys, section);
    }
    if let Some(mut teams) = root.table("team", findings) {
        for field in teams.take_all(findings) {
            let Some(team) = read_name::<TeamId>(&field, findings) else {
                continue;
            };
            if let Some(table) = field.into_table(findings) {
                let section = Section::Team(read_team_section(table, findings));
                draft.sections.insert(SectionId::Team(team), section);
            }
        }
    }
    root.reject_unknown_fields(findings);
    draft
}

fn read_fleet(mut table: TableReader<'_>, findings: &mut Findings) -> FleetSection {
    let drained_upstreams = table.optional("drained_upstreams", findings);
    let fleet = FleetSection {
        drained_upstreams: drained_upstreams.unwrap_or_default(),
        pools: table.tables("pool", findings, read_pool),
        services: table.tables("service", findings, read_service),
        queues: table.tables("queue", findings, read_queue),
        teams: table.tables("team", findings, read_team),
    };
    table.reject_unknown_fields(findings);
    fleet
}

fn read_pool(mut table: TableReader<'_>, findings: &mut Findings) -> Option<PoolSpec> {
    let id = table.required("id", findings);
    let budget: Option<VmCount> = table.required("max_unavailable_vms", findings);
    let min_vms: Option<VmCount> = table.optional("min_vms", findings);
    table.reject_unknown_fields(findings);
    Some(PoolSpec {
        id: id?,
        max_unavailable_vms: budget.unwrap_or_default(),
        min_vms: min_vms.unwrap_or_default(),
    })
}

fn read_service(mut table: TableReader<'_>, findings: &mut Findings) -> Option<ServiceSpec> {
    let id = table.required("id", findings);
    let pool = table.required("pool", findings);
    let slots: Option<Slots> = table.required("slots_per_upstream", findings);
    let connections: Option<Connections> = table.required("connections_per_upstream", findings);
    let answer_timeout_ms = table.required("answer_timeout_ms", findings);
    table.reject_unknown_fields(findings);
    Some(ServiceSpec {
        id: id?,
        pool: pool.unwrap_or_else(placeholder_id),
        slots_per_upstream: slots.unwrap_or_default(),
        connections_per_upstream: connections.unwrap_or_default(),
        answer_timeout_ms: answer_timeout_ms.unwrap_or_default(),
    })
}

fn read_queue(mut table: TableReader<'_>, findings: &mut Findings) -> Option<QueueSpec> {
    let id = table.required("id", findings);
    let service: Option<ServiceId> = table.required("service", findings);
    let access = table.required("access", findings);
    let max_waiting_per_team = table.required("max_waiting_per_team", findings);
    table.reject_unknown_fields(findings);
    Some(QueueSpec {
        id: id?,
        service: service.unwrap_or_else(placeholder_id),
        access: access.unwrap_or_else(|| QueueAccess::Teams(Vec::new())),
        max_waiting_per_team: max_waiting_per_team.unwrap_or_default(),
    })
}

fn read_team(mut table: TableReader<'_>, findings: &mut Findings) -> Option<TeamSpec> {
    let id = table.required("id", findings);
    let limit: Option<Slots> = table.required("upper_limit_slots", findings);
    let share_weight: Option<ShareWeight> = table.required("share_weight", findings);
    table.reject_unknown_fields(findings);
    Some(TeamSpec {
        id: id?,
        upper_limit_slots: limit.unwrap_or_default(),
        share_weight: share_weight.unwrap_or_default(),
    })
}

fn read_keys(mut table: TableReader<'_>, findings: &mut Findings) -> KeysSection {
    let keys = KeysSection {
        keys: table.tables("key", findings, read_key),
    };
    table.reject_unknown_fields(findings);
    keys
}

fn read_key(mut table: TableReader<'_>, findings: &mut Findings) -> Option<KeySpec> {
    let faults_before = findings.faults.len();
    let digest = table.required("digest", findings);
    let label = table.required("label", findings);
    let team = table.optional("team", findings).map(KeyOwner::Team);
    let operator = table.optional("operator", findings).map(KeyOwner::Operator);
    let is_readable = findings.faults.len() == faults_before;
    if is_readable && team.is_some() == operator.is_some() {
        table.add_fault(findings, KEY_OWNER_MESSAGE);
    }
    table.reject_unknown_fields(findings);
    Some(KeySpec {
        digest: digest?,
        owner: team.or(operator)?,
        label: label?,
    })
}

fn read_team_section(mut table: TableReader<'_>, findings: &mut Findings) -> TeamSection {
    let contact = table.optional("contact", findings);
    let weights = table.table("queue_weights", findings);
    let queue_weights = weights.map(|mut weights| read_map::<QueueId, _>(&mut weights, findings));
    table.reject_unknown_fields(findings);
    TeamSection {
        contact,
        queue_weights: queue_weights.unwrap_or_default(),
    }
}

fn read_map<K, V>(table: &mut TableReader<'_>, findings: &mut Findings) -> LiteMap<K, V>
where
    K: FromStr<Err: ToString> + Ord,
    V: serde::de::DeserializeOwned,
{
    let mut map = LiteMap::new();
    for field in table.take_all(findings) {
        let key = read_name(&field, findings);
        let value = field.decode(findings);
        if let (Some(key), Some(value)) = (key, value) {
            map.insert(key, value);
        }
    }
    map
}

fn read_name<K: FromStr<Err: ToString>>(
    field: &NamedValue<'_>,
    findings: &mut Findings,
) -> Option<K> {
    match field.name.parse() {
        Ok(name) => Some(name),
        Err(error) => {
            findings.add_fault(&field.path, field.name_span.start, error.to_string());
            None
        }
    }
}

fn placeholder_id<K: FromStr<Err: std::fmt::Debug>>() -> K {
    PLACEHOLDER_ID
        .parse()
        .expect("the placeholder is a valid identifier")
}
