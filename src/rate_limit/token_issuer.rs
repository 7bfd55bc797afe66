//! Issues tokens for limited upstreams to the entries.

use std::collections::HashMap;

use super::token_row::TokenRow;
use super::{RequestRate, TokenGrant, TokenRequest};
use crate::prelude::*;

/// Milliseconds after the last report about an upstream until its limit is forgotten.
const ROW_TTL_MS: u64 = 5_000;

/// Milliseconds for which a change of a limit is told to entries that did not report it.
const TOLD_CHANGE_MS: u64 = 3_000;

/// Shares the limits of upstreams among the entries, at the planner.
#[derive(Debug, Default)]
pub struct TokenIssuer {
    rows: HashMap<UpstreamId, TokenRow>,
}

impl TokenIssuer {
    /// Creates an issuer that knows no limits.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Records an entry's requests and returns its tokens, and the limits that it may not know.
    pub fn exchange(
        &mut self,
        now: MonoTime,
        entry: &InstanceName,
        requests: &[TokenRequest],
    ) -> Vec<TokenGrant> {
        self.rows
            .retain(|_, row| now.millis_since(row.reported_at) < ROW_TTL_MS);
        let mut grants: Vec<TokenGrant> = Vec::new();
        for request in requests {
            grants.extend(self.exchange_one(now, entry, request));
        }
        let is_reported = |id: &UpstreamId| requests.iter().any(|request| request.upstream == *id);
        let news = self.rows.iter().filter(|(id, row)| {
            now.millis_since(row.changed_at) < TOLD_CHANGE_MS && !is_reported(id)
        });
        grants.extend(news.map(|(id, row)| grant(now, entry, id, row, 0)));
        grants
    }

    /// The limits of all upstreams that have one.
    pub fn limits(&self) -> impl Iterator<Item = (&UpstreamId, RequestRate)> {
        self.rows
            .iter()
            .filter_map(|(id, row)| Some((id, row.limit()?)))
    }

    /// `None` if the request is about an earlier start of the upstream.
    fn exchange_one(
        &mut self,
        now: MonoTime,
        entry: &InstanceName,
        request: &TokenRequest,
    ) -> Option<TokenGrant> {
        let id = &request.upstream;
        let is_new = |row: &TokenRow| row.started_at_ms < request.started_at_ms;
        if self.rows.get(id).is_none_or(is_new) {
            self.rows.insert(id.clone(), TokenRow::open(now, request));
        }
        let row = self.rows.get_mut(id)?;
        if row.started_at_ms != request.started_at_ms {
            return None;
        }
        let count = row.exchange(now, entry, request);
        Some(grant(now, entry, id, row, count))
    }
}

fn grant(
    now: MonoTime,
    entry: &InstanceName,
    id: &UpstreamId,
    row: &TokenRow,
    count: u32,
) -> TokenGrant {
    TokenGrant {
        upstream: id.clone(),
        started_at_ms: row.started_at_ms,
        hearing: row.hearing(now),
        count,
        queue: row.queue_besides(entry),
    }
}
