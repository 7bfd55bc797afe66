//! Acquires and renews the leases for which this agent is a candidate.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use super::agent_context::AgentContext;
use crate::decision::DecisionEvent;
use crate::lease::{LeaseHolder, LeaseIntent, LeaseRow};
use crate::membership::{MemberRole, MemberState};
use crate::prelude::*;
use crate::routing::rendezvous_weight;
use crate::table::{RowRevision, TableError, TableTxn, TxnOutcome};

/// Key prefix of all lease rows.
pub const LEASE_PREFIX: &str = "lease/";

/// Lease whose holder issues load permits.
pub const PERMIT_LEASE: &str = "lease/permits";

/// Number of agents that may acquire an expired lease; they are chosen by rendezvous
/// hashing.
const MAX_CANDIDATES: usize = 3;

/// Reads of the leases per lease term by a candidate, or while no permit issuer is known.
/// Other agents read once per term, or at once when the presumed permit issuer is
/// unreachable or denies the role.
const POLLS_PER_TERM: u64 = 6;

/// Lease term in milliseconds until the settings have been read.
const DEFAULT_LEASE_TERM_MS: u64 = 6_000;

/// A lease that this agent holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// Revision of the lease row, which each transaction under the lease checks.
    pub revision: RowRevision,
    /// Epoch of the lease.
    pub epoch: u64,
}

/// Last observed state of all leases.
#[derive(Debug, Default)]
pub struct LeaseSet {
    holders: BTreeMap<String, LeaseHolder>,
}

impl LeaseSet {
    /// Creates an empty set, before the first read.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns the lease if this agent holds it at `now`.
    #[must_use]
    pub fn held(&self, lease: &str, now: MonoTime) -> Option<HeldLease> {
        let holder = self.holders.get(lease)?;
        Some(HeldLease {
            revision: holder.held_revision(now)?,
            epoch: holder.epoch()?,
        })
    }

    /// Address of the last known holder of a lease.
    #[must_use]
    pub fn holder_address(&self, lease: &str) -> Option<SocketAddr> {
        let row = self.holders.get(lease)?.last_row()?;
        Some(row.address)
    }

    /// Whether the last known row of a lease names the process with this start id.
    #[must_use]
    pub fn is_newest_holder(&self, lease: &str, start_id: u64) -> bool {
        let row = self.holders.get(lease).and_then(LeaseHolder::last_row);
        row.is_some_and(|row| row.start_id == start_id)
    }
}

/// Key of a partition's lease.
#[must_use]
pub fn partition_lease(partition: u32) -> String {
    format!("{LEASE_PREFIX}partition/{partition}")
}

/// Runs the lease loop; never returns.
pub async fn run_leases(context: Rc<AgentContext>) {
    loop {
        let term_ms = term_ms(&context);
        if context.node.fleet().is_ok()
            && let Err(error) = maintain_leases(&context, term_ms).await
        {
            log::warn!(error:% = error; "leases not read or renewed");
        }
        let now = context.now();
        let is_issuer = {
            let leases = context.leases.borrow();
            leases.is_newest_holder(PERMIT_LEASE, context.node.start_id)
        };
        context.permits.set_issuing(now, is_issuer);
        context.planner_wake.notify();
        let names = lease_names(&context);
        let has_candidacy = names.iter().any(|name| is_candidate(&context, name));
        let knows_issuer = context
            .leases
            .borrow()
            .holder_address(PERMIT_LEASE)
            .is_some();
        let pause_ms = if has_candidacy || !knows_issuer {
            term_ms / POLLS_PER_TERM
        } else {
            term_ms
        };
        context.lease_wake.wait(pause_ms).await;
    }
}

/// Releases all held leases, so that other agents can acquire them without waiting for
/// their expiry.
pub async fn release_leases(context: &AgentContext) {
    let now = context.now();
    let held: Vec<(String, RowRevision)> = {
        let leases = context.leases.borrow();
        let names = leases.holders.keys();
        names
            .filter_map(|name| {
                leases
                    .held(name, now)
                    .map(|held| (name.clone(), held.revision))
            })
            .collect()
    };
    for (name, revision) in held {
        let txn = TableTxn::default().check(&name, revision).delete(&name);
        let _ = context.node.table.commit(txn).await;
    }
}

fn term_ms(context: &AgentContext) -> u64 {
    let fleet = context.node.fleet();
    fleet.map_or(DEFAULT_LEASE_TERM_MS, |fleet| fleet.limits.lease_ms)
}

fn lease_names(context: &AgentContext) -> Vec<String> {
    let partitions = context
        .node
        .fleet()
        .map_or(0, |fleet| fleet.limits.partitions);
    let mut names: Vec<String> = (0..partitions).map(partition_lease).collect();
    names.push(PERMIT_LEASE.to_owned());
    names
}

async fn maintain_leases(context: &AgentContext, term_ms: u64) -> Result<(), TableError> {
    let rows = context
        .node
        .table
        .scan(LEASE_PREFIX.to_owned(), RowRevision::ABSENT)
        .await?;
    for name in lease_names(context) {
        let row = rows.iter().find(|row| row.key == name);
        let value: Option<LeaseRow> = match row {
            Some(row) => row.decode()?,
            None => None,
        };
        let revision = row.map_or(RowRevision::ABSENT, |row| row.revision);
        observe_row(context, &name, term_ms, revision, value);
        maintain_lease(context, &name).await?;
    }
    Ok(())
}

fn observe_row(
    context: &AgentContext,
    name: &str,
    term_ms: u64,
    revision: RowRevision,
    row: Option<LeaseRow>,
) {
    let now = context.now();
    let mut leases = context.leases.borrow_mut();
    let holder = leases.holders.entry(name.to_owned()).or_insert_with(|| {
        LeaseHolder::open(
            context.instance().clone(),
            context.node.address,
            context.node.start_id,
            term_ms,
        )
    });
    holder.observe(now, revision, row);
}

async fn maintain_lease(context: &AgentContext, name: &str) -> Result<(), TableError> {
    let sent_at = context.now();
    let may_take = !context.is_leaving.get() && is_candidate(context, name);
    let intent = {
        let leases = context.leases.borrow();
        let holder = leases.holders.get(name);
        holder.and_then(|holder| holder.intent(sent_at, may_take))
    };
    let Some(intent) = intent else {
        return Ok(());
    };
    let txn = TableTxn::default()
        .check(name, intent.expected)
        .write(name, &intent.row)?;
    match context.node.table.commit(txn).await? {
        TxnOutcome::Committed(revision) => record_commit(context, name, sent_at, &intent, revision),
        TxnOutcome::Conflict(rows) => {
            if let Some(row) = rows.first() {
                let term_ms = term_ms(context);
                observe_row(context, name, term_ms, row.revision, row.decode()?);
            }
        }
    }
    Ok(())
}

fn record_commit(
    context: &AgentContext,
    name: &str,
    sent_at: MonoTime,
    intent: &LeaseIntent,
    revision: RowRevision,
) {
    let mut leases = context.leases.borrow_mut();
    if let Some(holder) = leases.holders.get_mut(name) {
        holder.record_commit(sent_at, intent, revision);
    }
    if intent.row.beat == 0 {
        context.node.decisions.record(DecisionEvent::TakeLease {
            lease: name.to_owned(),
            epoch: intent.row.epoch,
        });
    }
}

/// Whether this agent is among the first [`MAX_CANDIDATES`] live agents by rendezvous
/// hashing. Others do not try, so that an expired lease does not cause a write from each
/// agent.
fn is_candidate(context: &AgentContext, name: &str) -> bool {
    let members = context.node.members.borrow();
    let own = rendezvous_weight(name, context.instance().as_str());
    let higher_ranked = members
        .of_role(MemberRole::Agent)
        .filter(|member| member.state == MemberState::Live)
        .filter(|member| member.instance != *context.instance())
        .filter(|member| rendezvous_weight(name, member.instance.as_str()) > own)
        .count();
    higher_ranked < MAX_CANDIDATES
}
