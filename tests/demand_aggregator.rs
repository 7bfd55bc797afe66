//! Sums of the demand that entries report. Hundreds of entries report several times a second, so a
//! report changes the sums by its difference; they must stay what a sum over all reports gives.

use std::collections::BTreeMap;

use proptest::prelude::*;
use quetzalpin::fleet::ModelNeed;
use quetzalpin::orders::{DemandAggregator, EntryDemand, RunningRequests, WaitingRequests};
use quetzalpin::prelude::*;

const ENTRIES: usize = 4;
const UPSTREAMS: usize = 3;
const MODELS: usize = 3;

fn need(model: usize) -> ModelNeed {
    ModelNeed::whole(ModelName::from(format!("m{model}").as_str()))
}

fn upstream(number: usize) -> UpstreamId {
    UpstreamId::from(format!("i-{number}").as_str())
}

fn waiting(model: usize, rank: u8, waited_ms: u64) -> WaitingRequests {
    WaitingRequests {
        need: need(model),
        service: ServiceName::from("engines"),
        count: 1 + u32::from(rank),
        rank,
        waited_ms,
    }
}

fn demands() -> impl Strategy<Value = EntryDemand> {
    let wants = prop::collection::vec((0..MODELS, 0_u8..3, 0_u64..900), 0..4);
    let runs = prop::collection::vec((0..UPSTREAMS, 0..MODELS, 1_u32..4), 0..4);
    let unreachable = prop::collection::vec(0..UPSTREAMS, 0..2);
    (wants, runs, unreachable).prop_map(|(wants, runs, unreachable)| EntryDemand {
        wants: wants
            .into_iter()
            .map(|(model, rank, waited_ms)| waiting(model, rank, waited_ms))
            .collect(),
        runs: runs
            .into_iter()
            .map(|(id, model, count)| RunningRequests(upstream(id), need(model).model, count))
            .collect(),
        unreachable: unreachable.into_iter().map(upstream).collect(),
        ..EntryDemand::default()
    })
}

proptest! {
    #[test]
    fn sums_are_those_of_the_latest_reports(
        reports in prop::collection::vec((0..ENTRIES, 1_u64..1_500, demands()), 1..30),
    ) {
        let mut aggregator = DemandAggregator::default();
        let mut latest: BTreeMap<usize, (MonoTime, EntryDemand)> = BTreeMap::new();
        let mut now = MonoTime::from_millis(10_000);
        for (entry, pause_ms, demand) in reports {
            now = now + pause_ms;
            let name = InstanceName::from(format!("entry-{entry}").as_str());
            aggregator.record(now, name, demand.clone());
            aggregator.drop_silent_entries(now);
            latest.insert(entry, (now, demand));
            latest.retain(|_, (at, _)| now.millis_since(*at) < 2_500);
        }
        let mut fresh = DemandAggregator::default();
        let mut ordered: Vec<_> = latest.into_iter().collect();
        ordered.sort_by_key(|(_, (at, _))| *at);
        for (entry, (at, demand)) in ordered {
            let name = InstanceName::from(format!("entry-{entry}").as_str());
            fresh.record(at, name, demand);
        }
        prop_assert_eq!(aggregator.wants(), fresh.wants());
        for id in 0..UPSTREAMS {
            prop_assert_eq!(
                aggregator.is_unreachable(&upstream(id)),
                fresh.is_unreachable(&upstream(id))
            );
            for model in 0..MODELS {
                prop_assert_eq!(
                    aggregator.running(&upstream(id), &need(model).model),
                    fresh.running(&upstream(id), &need(model).model)
                );
            }
        }
    }
}
