use stairstall_core::batch::{
    GroupProgress, Incarnation, LearnedEstimates, Progress, RunPlacement, StoredPace, StoredRatios,
};

use super::{decode, encode};

/// Returns the progress of one step whose tasks are all running.
fn progress(tasks: u32) -> Progress {
    let placement = |index: u32| {
        let worker = format!("i-{:010x}", u64::from(index % 12) * 0x9e37_79b9_7f4a);
        let placement = RunPlacement {
            worker: worker.parse().expect("a valid ID"),
            run: index + 1,
            incarnation: Some(Incarnation::from_unix_ms(1_800_000_000_000)),
            start_confirmed: true,
        };
        (index, placement)
    };
    let group = GroupProgress {
        tasks: "-".repeat(tasks as usize),
        placements: (0..tasks).map(placement).collect(),
        ..GroupProgress::default()
    };
    Progress {
        occurrences: vec![vec![group]],
        ..Progress::default()
    }
}

#[test]
fn long_values_are_compressed_to_less_than_a_third() {
    let progress = progress(80);
    let json = serde_json::to_vec(&progress).expect("JSON");
    let encoded = encode(&progress).expect("it is encoded");
    assert!(
        encoded.len() * 3 < json.len(),
        "{} of {} bytes",
        encoded.len(),
        json.len()
    );
    assert_eq!(
        decode::<Progress>(&encoded).expect("it is decoded"),
        progress
    );
}

#[test]
fn short_values_are_stored_as_plain_json() {
    let progress = progress(1);
    let encoded = encode(&progress).expect("it is encoded");
    assert_eq!(encoded, serde_json::to_vec(&progress).expect("JSON"));
    assert_eq!(
        decode::<Progress>(&encoded).expect("it is decoded"),
        progress
    );
}

#[test]
fn decoding_a_truncated_value_fails() {
    let mut encoded = encode(&progress(80)).expect("it is encoded");
    encoded.truncate(encoded.len() / 2);
    assert!(decode::<Progress>(&encoded).is_err());
    assert!(decode::<Progress>(b"").is_err());
    assert!(decode::<Progress>(b"{\"occurrences\":").is_err());
}

/// Returns the largest set of learned estimates for this number of workers.
fn learned(workers: u32) -> LearnedEstimates {
    let spread = |number: u32| (number.wrapping_mul(2_654_435_761) >> 16) % 97;
    let ratios = |number: u32| StoredRatios {
        queue: format!("queue-{}", number % 16),
        customer: (number >= 16).then(|| format!("customer-{number}").parse().expect("a valid ID")),
        complete: (0..32)
            .map(|bin| as_u16(spread(number * 32 + bin)))
            .collect(),
        censored: (0..32)
            .map(|bin| as_u16(spread(number * 57 + bin) / 9))
            .collect(),
    };
    let pace = |number: u32| StoredPace {
        worker: format!(
            "i-{:010x}",
            u64::from(number) * 0x9e37_79b9_7f4a % 0xff_ffff_ffff
        )
        .parse()
        .expect("a valid ID"),
        factor_percent: as_u16(70 + spread(number)),
        spread_percent: as_u16(spread(number) / 9),
        runs: u8::try_from(spread(number)).expect("it fits"),
    };
    LearnedEstimates {
        at_unix_ms: 1_800_000_000_000,
        run_times: (0..128).map(ratios).collect(),
        paces: (0..workers).map(pace).collect(),
    }
}

fn as_u16(number: u32) -> u16 {
    u16::try_from(number).expect("it fits")
}

#[test]
fn learned_estimates_stay_far_below_the_size_limit_of_the_store() {
    for (workers, max_len) in [(0, 16_000), (350, 24_000), (3_000, 80_000)] {
        let learned = learned(workers);
        let encoded = encode(&learned).expect("it is encoded");
        println!("{workers} workers: {} bytes", encoded.len());
        assert!(
            encoded.len() < max_len,
            "{workers} workers: {} bytes",
            encoded.len()
        );
        assert_eq!(
            decode::<LearnedEstimates>(&encoded).expect("it is decoded"),
            learned
        );
    }
}
