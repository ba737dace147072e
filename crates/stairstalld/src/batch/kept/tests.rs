use stairstall_core::batch::{GroupProgress, Incarnation, Place, Progress};

use super::{read, write};

/// Progress of a step of 80 tasks that all run.
fn progress(tasks: u32) -> Progress {
    let place = |index: u32| {
        let worker = format!("i-{:010x}", u64::from(index % 12) * 0x9e37_79b9_7f4a);
        let place = Place {
            worker: worker.parse().expect("an id"),
            run: index + 1,
            incarnation: Some(Incarnation::from_unix_ms(1_800_000_000_000)),
            taken: true,
        };
        (index, place)
    };
    let group = GroupProgress {
        tasks: "-".repeat(tasks as usize),
        places: (0..tasks).map(place).collect(),
        ..GroupProgress::default()
    };
    Progress {
        occurrences: vec![vec![group]],
        ..Progress::default()
    }
}

#[test]
fn long_values_are_kept_in_a_fraction_of_their_length() {
    let progress = progress(80);
    let json = serde_json::to_vec(&progress).expect("JSON");
    let kept = write(&progress).expect("a value");
    assert!(
        kept.len() * 3 < json.len(),
        "{} of {} bytes",
        kept.len(),
        json.len()
    );
    assert_eq!(read::<Progress>(&kept).expect("what was kept"), progress);
}

#[test]
fn short_values_can_be_read_by_people() {
    let progress = progress(1);
    let kept = write(&progress).expect("a value");
    assert_eq!(kept, serde_json::to_vec(&progress).expect("JSON"));
    assert_eq!(read::<Progress>(&kept).expect("what was kept"), progress);
}

#[test]
fn what_is_not_whole_is_an_error() {
    let mut kept = write(&progress(80)).expect("a value");
    kept.truncate(kept.len() / 2);
    assert!(read::<Progress>(&kept).is_err());
    assert!(read::<Progress>(b"").is_err());
    assert!(read::<Progress>(b"{\"occurrences\":").is_err());
}
