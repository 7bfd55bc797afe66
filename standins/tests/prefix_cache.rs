//! Tests of the engine stand-in's prompt cache.

use std::time::Duration;

use quetzalpin_standins::PrefixCache;

#[test]
fn events_are_late_and_have_gaps() {
    let mut cache = PrefixCache::default();
    for number in 0..20 {
        assert!(!cache.touch(&format!("prompt {number}")));
    }
    assert!(cache.touch("prompt 3"));
    assert_eq!(cache.events_after(0, Duration::from_mins(1)), []);
    let events = cache.events_after(0, Duration::ZERO);
    assert_eq!(
        events.len(),
        18,
        "two of twenty changes are never published"
    );
    assert!(events.iter().all(|event| event.sequence % 7 != 0));
    assert_eq!(cache.events_after(18, Duration::ZERO).len(), 2);
}
