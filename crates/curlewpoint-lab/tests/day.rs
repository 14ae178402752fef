//! A scripted bad day on real sockets keeps the five rules.

use std::collections::BTreeSet;

use curlewpoint_lab::{play, Record, Script, Seen, BAD_DAY, CONFIG};

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_day_keeps_all_rules() {
    let config = curlewpoint_config::parse("rehearsal.conf", CONFIG).expect("it is shipped");
    let script = Script::parse("bad.day", BAD_DAY).expect("it is shipped");
    let day = play(&config, &script).await.expect("loopback is there");
    assert!(day.verdict.kept(), "{}", day.drawn);
    let troubles: BTreeSet<_> = day
        .seen
        .iter()
        .filter_map(|(_, s)| if let Seen::Scripted { what } = s { what.split(' ').next() } else { None })
        .collect();
    assert!(troubles.len() >= 6, "{troubles:?}");
    // Each rule was put to the test, but for drains, where nothing may have been sent late.
    let judged = day.verdict.judged;
    assert!(judged[0] > 500 && judged[1] > 100 && judged[3] > 10 && judged[4] > 10, "{judged:?}");
    // What the schedulers say of themselves adds up, with what their clients saw.
    let asked = day.seen.iter().filter(|(_, s)| matches!(s, Seen::Asked { .. })).count() as u64;
    let sum: u64 = day.figures.values().map(|f| f.taken + f.refused).sum();
    assert_eq!(sum, asked, "{:?}", day.figures);
    for (name, f) in &day.figures {
        assert_eq!(f.taken, f.ok + f.denied + f.aborted + f.left, "{name}");
        assert_eq!((f.guarded, f.cut_off), (0, 0), "{name}");
    }
    assert!(Record::since_start(day.seen[0].0).ms() >= 0.0);
}
