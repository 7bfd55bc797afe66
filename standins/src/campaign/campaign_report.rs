//! Checks the guarantees of the system against the history of a campaign.

use std::collections::BTreeMap;
use std::fmt;

use quetzalpin::prelude::*;

use super::call_history::{CallRecord, CallResult, CallSubject};
use crate::engine_audit::EngineAudit;
use crate::prompt_words::{POISON_WORD, answer_word};

/// Time after its deadline by which each call must have ended.
const DEADLINE_GRACE_MS: u64 = 8_000;

/// Maximum number of engines that one prompt may crash.
const MAX_CRASHES_PER_PROMPT: u32 = 2;

/// Maximum number of violations that the report lists for each guarantee.
const MAX_LISTED_VIOLATIONS: usize = 5;

/// Result of checking one guarantee.
#[derive(Debug, Clone)]
pub struct GuaranteeCheck {
    /// The guarantee in words.
    pub promise: &'static str,
    /// Number of cases checked.
    pub checks: u64,
    /// Description of each case that violated the guarantee.
    pub violations: Vec<String>,
}

/// Result of a campaign.
#[derive(Debug, Clone)]
pub struct CampaignReport {
    /// Seed of the campaign.
    pub seed: u64,
    /// Number of calls by content and result.
    pub result_counts: BTreeMap<String, u64>,
    /// Number of faults injected.
    pub faults: u64,
    /// Result for each guarantee.
    pub checks: Vec<GuaranteeCheck>,
}

impl CampaignReport {
    /// Whether no guarantee was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.checks.iter().all(|check| check.violations.is_empty())
    }
}

impl fmt::Display for CampaignReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "seed {}: {} faults", self.seed, self.faults)?;
        for (result, count) in &self.result_counts {
            writeln!(formatter, "  {count:>6} {result}")?;
        }
        writeln!(
            formatter,
            "{:<58} {:>8} {:>10}",
            "promise", "checks", "violations"
        )?;
        for check in &self.checks {
            let violations = check.violations.len();
            writeln!(
                formatter,
                "{:<58} {:>8} {violations:>10}",
                check.promise, check.checks
            )?;
            for violation in check.violations.iter().take(MAX_LISTED_VIOLATIONS) {
                writeln!(formatter, "    {violation}")?;
            }
        }
        Ok(())
    }
}

/// Observations of the callers and the stand-ins.
pub struct CampaignEvidence {
    /// All calls, in the order in which they ended.
    pub history: Vec<CallRecord>,
    /// How often each batch was stamped, over all services.
    pub stamps: BTreeMap<String, u32>,
    /// Audit of each engine.
    pub engines: Vec<EngineAudit>,
    /// Number of slot checks, and a description of each replica held without a slot.
    pub slots: (u64, Vec<String>),
}

impl CampaignEvidence {
    /// Checks all guarantees.
    pub fn check(&self) -> Vec<GuaranteeCheck> {
        vec![
            self.stamps_run_at_most_once(),
            self.not_run_is_true(),
            self.answered_stamps_ran(),
            self.stamps_are_not_stranded(),
            self.answers_are_own_and_whole(),
            self.calls_end_in_time(),
            self.refusals_are_typed(),
            self.replicas_have_slots(),
            self.memory_is_not_overcommitted(),
            self.crashes_are_contained(),
        ]
    }

    /// Number of calls by content and result.
    pub fn result_counts(&self) -> BTreeMap<String, u64> {
        let mut result_counts = BTreeMap::new();
        for record in &self.history {
            let subject = match record.subject {
                CallSubject::Chat { .. } => "chat",
                CallSubject::Stamp { .. } => "stamp",
            };
            let result = match &record.result {
                CallResult::Answer(_) => "answered".to_owned(),
                CallResult::Cut => "cut".to_owned(),
                CallResult::Broken => "broken".to_owned(),
                CallResult::Untyped(status, _) => format!("status {status}"),
                CallResult::Refused(refusal) => refusal.to_string(),
            };
            *result_counts
                .entry(format!("{subject}: {result}"))
                .or_insert(0) += 1;
        }
        result_counts
    }

    fn stamps_run_at_most_once(&self) -> GuaranteeCheck {
        let repeated = self.stamps.iter().filter(|(_, runs)| **runs > 1);
        GuaranteeCheck {
            promise: "a non-idempotent stamp runs at most once",
            checks: self.stamps.len() as u64,
            violations: repeated
                .map(|(batch, runs)| format!("{batch} ran {runs} times"))
                .collect(),
        }
    }

    fn records_by_batch(&self) -> BTreeMap<&str, Vec<&CallRecord>> {
        let mut batches: BTreeMap<&str, Vec<&CallRecord>> = BTreeMap::new();
        for record in &self.history {
            if let CallSubject::Stamp { batch } = &record.subject {
                batches.entry(batch).or_default().push(record);
            }
        }
        batches
    }

    /// If a call is refused as not run, and every call for the batch that was sent before it
    /// ended was refused in the same way, the stamp must not have run.
    fn not_run_is_true(&self) -> GuaranteeCheck {
        let mut checks = 0;
        let mut violations = Vec::new();
        for (batch, records) in self.records_by_batch() {
            for record in records.iter().filter(|record| is_not_run(record)) {
                let ended = record.started_after + record.duration;
                let mut earlier_calls = records.iter().filter(|other| other.started_after <= ended);
                if !earlier_calls.all(|other| is_not_run(other)) {
                    continue;
                }
                checks += 1;
                if record.run_count > 0 {
                    violations.push(format!("{batch} had run when {} said not run", record.id));
                }
            }
        }
        GuaranteeCheck {
            promise: "a refusal that says not run is true",
            checks,
            violations,
        }
    }

    fn answered_stamps_ran(&self) -> GuaranteeCheck {
        let mut checks = 0;
        let mut violations = Vec::new();
        for (batch, records) in self.records_by_batch() {
            let answers = records.iter().filter_map(|record| match &record.result {
                CallResult::Answer(text) => Some(text),
                _ => None,
            });
            let mut answers: Vec<&String> = answers.collect();
            checks += answers.len() as u64;
            answers.sort();
            answers.dedup();
            if answers.len() > 1 {
                violations.push(format!("{batch} has different answers: {answers:?}"));
            }
            let is_own = answers
                .iter()
                .all(|text| text.contains(&format!("\"{batch}\"")));
            if !is_own || (!answers.is_empty() && !self.stamps.contains_key(batch)) {
                violations.push(format!("{batch} was answered {answers:?}"));
            }
        }
        GuaranteeCheck {
            promise: "an answered stamp ran, with one answer for all resends",
            checks,
            violations,
        }
    }

    /// Once the faults have ended, a resend of each stamp that has not run must be answered.
    fn stamps_are_not_stranded(&self) -> GuaranteeCheck {
        let mut checks = 0;
        let mut violations = Vec::new();
        for (batch, records) in self.records_by_batch() {
            let Some(last) = records.last() else {
                continue;
            };
            checks += 1;
            let has_run = self.stamps.contains_key(batch);
            if !has_run && !matches!(last.result, CallResult::Answer(_)) {
                let calls: Vec<String> = records
                    .iter()
                    .map(|r| {
                        format!(
                            "{} {:?}+{:?} {:?}",
                            r.id, r.started_after, r.duration, r.result
                        )
                    })
                    .collect();
                violations.push(format!("{batch} never ran: {}", calls.join("; ")));
            }
        }
        GuaranteeCheck {
            promise: "a stamp that has not run can still run later",
            checks,
            violations,
        }
    }

    fn answers_are_own_and_whole(&self) -> GuaranteeCheck {
        let mut checks = 0;
        let mut violations = Vec::new();
        for record in &self.history {
            let CallSubject::Chat {
                prompt,
                stream,
                tokens,
            } = &record.subject
            else {
                continue;
            };
            let CallResult::Answer(text) = &record.result else {
                continue;
            };
            checks += 1;
            let expected: Vec<String> = (0..*tokens).map(|i| answer_word(prompt, i)).collect();
            let words = parse_answer_words(text);
            let is_ended = !stream || text.contains("[DONE]");
            if words != expected || !is_ended {
                let count = words.len();
                violations.push(format!("{prompt}: {count} of {tokens} words, or others"));
            }
        }
        GuaranteeCheck {
            promise: "each caller receives the whole answer to its own request",
            checks,
            violations,
        }
    }

    fn calls_end_in_time(&self) -> GuaranteeCheck {
        let late = self.history.iter().filter(|record| {
            record.duration.as_millis() > u128::from(record.deadline_ms + DEADLINE_GRACE_MS)
        });
        GuaranteeCheck {
            promise: "every request is served or refused, never dropped",
            checks: self.history.len() as u64,
            violations: late
                .map(|record| {
                    format!(
                        "{:?} at entry {} after {:?} took {:?}",
                        record.subject, record.entry, record.started_after, record.duration
                    )
                })
                .collect(),
        }
    }

    fn refusals_are_typed(&self) -> GuaranteeCheck {
        let untyped = self
            .history
            .iter()
            .filter_map(|record| match &record.result {
                CallResult::Untyped(status, text) => {
                    Some(format!("{:?}: {status} {text}", record.subject))
                }
                _ => None,
            });
        GuaranteeCheck {
            promise: "every refusal has a type and an outcome",
            checks: self.history.len() as u64,
            violations: untyped.collect(),
        }
    }

    fn replicas_have_slots(&self) -> GuaranteeCheck {
        GuaranteeCheck {
            promise: "no more replicas of a model are loaded than were decided",
            checks: self.slots.0,
            violations: self.slots.1.clone(),
        }
    }

    fn memory_is_not_overcommitted(&self) -> GuaranteeCheck {
        let over = self.engines.iter().filter(|audit| audit.overcommits > 0);
        GuaranteeCheck {
            promise: "accelerator memory is never overcommitted",
            checks: self
                .engines
                .iter()
                .map(|audit| audit.changes.len() as u64)
                .sum(),
            violations: over
                .map(|audit| format!("{} loads beyond the memory", audit.overcommits))
                .collect(),
        }
    }

    fn crashes_are_contained(&self) -> GuaranteeCheck {
        let mut crashes: BTreeMap<&str, u32> = BTreeMap::new();
        for (prompt, count) in self.engines.iter().flat_map(|audit| &audit.poisoned) {
            *crashes.entry(prompt).or_insert(0) += count;
        }
        let sent = self.history.iter().filter(|record| {
            matches!(&record.subject, CallSubject::Chat { prompt, .. }
                if prompt.contains(POISON_WORD))
        });
        let excessive = crashes
            .iter()
            .filter(|(_, count)| **count > MAX_CRASHES_PER_PROMPT);
        GuaranteeCheck {
            promise: "a request crashes at most two upstreams",
            checks: sent.count() as u64,
            violations: excessive
                .map(|(prompt, count)| format!("{prompt} crashed {count} engines"))
                .collect(),
        }
    }
}

fn is_not_run(record: &CallRecord) -> bool {
    matches!(&record.result, CallResult::Refused(refusal) if refusal.outcome == RefusalOutcome::NotRun)
}

/// Extracts the generated words from a streamed or complete answer.
fn parse_answer_words(text: &str) -> Vec<String> {
    let is_word = |word: &&str| {
        word.len() == 9 && word.starts_with('w') && word[1..].chars().all(|c| c.is_ascii_hexdigit())
    };
    let pieces = text.split(|c: char| !c.is_ascii_alphanumeric());
    pieces.filter(is_word).map(str::to_owned).collect()
}
