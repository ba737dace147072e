//! Seeded mutation of valid JSON: extreme numbers, other types, dropped, duplicated and deeply nested
//! fields, and cut bytes. Included by the tests of several crates.

use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};
use serde_json::{Value, json};

/// Environment variable that sets the first seed; the default gives the same verdict every time.
const SEED: &str = "STAIRSTALL_TEST_SEED";
/// Environment variable that multiplies the number of inputs.
const EFFORT: &str = "STAIRSTALL_TEST_EFFORT";
/// Seeds of one run.
const SEEDS: u64 = 4;
/// Size of the random inputs: the most mutations of one value.
const SIZE: usize = 12;
/// Levels of a value that no reader needs to accept. JSON readers often stop at 128.
const DEEP: usize = 200;

fn from_environment(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Tries a property with several seeds, `tests` inputs each.
pub fn check<A: Testable + Copy>(tests: u64, property: A) {
    let first = from_environment(SEED, 1);
    let tests = tests * from_environment(EFFORT, 1);
    for seed in first..first + SEEDS {
        println!("seed {seed}, {tests} inputs");
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(SIZE, seed))
            .tests(tests)
            .quickcheck(property);
    }
}

/// One of the numbers at which arithmetic goes wrong.
pub fn extreme(g: &mut Gen) -> u64 {
    let edges = [
        0,
        1,
        2,
        u64::from(u32::MAX) - 1,
        u64::from(u32::MAX),
        u64::from(u32::MAX) + 1,
        1 << 44,
        1 << 53,
        u64::MAX / 1000,
        u64::MAX - 1,
        u64::MAX,
    ];
    *g.choose(&edges).expect("edges")
}

fn extreme_value(g: &mut Gen) -> Value {
    match u8::arbitrary(g) % 12 {
        0..=4 => json!(extreme(g)),
        5 => json!(1e300),
        6 => json!(-1e300),
        7 => json!(f64::from(f32::arbitrary(g))),
        8 => json!(i64::MIN),
        9 => json!(0.000_001),
        10 => json!(u16::arbitrary(g)),
        _ => json!(u8::arbitrary(g)),
    }
}

fn other_value(g: &mut Gen) -> Value {
    match u8::arbitrary(g) % 9 {
        0 => Value::Null,
        1 => json!(bool::arbitrary(g)),
        2 => json!(String::arbitrary(g)),
        3 => json!(""),
        4 => json!("n".repeat(usize::from(u16::arbitrary(g)))),
        5 => json!([]),
        6 => json!({}),
        7 => json!([String::arbitrary(g), extreme(g)]),
        _ => (0..DEEP).fold(json!(1), |inner, _| json!([inner])),
    }
}

/// What is done to one node of a value.
#[derive(Debug, Clone)]
enum Change {
    /// It is replaced.
    Replace(Value),
    /// It is taken out of its list or object.
    Remove,
    /// It stands twice in its list, or also under another name of its object.
    Duplicate,
}

/// A change of one node somewhere in a value.
#[derive(Debug, Clone)]
pub struct Mutation {
    /// Which child is taken, level by level; the last level is the node.
    path: Vec<u8>,
    change: Change,
}

impl Arbitrary for Mutation {
    fn arbitrary(g: &mut Gen) -> Self {
        let levels = 1 + usize::arbitrary(g) % 6;
        Self {
            path: (0..levels).map(|_| u8::arbitrary(g)).collect(),
            change: match u8::arbitrary(g) % 8 {
                0..=3 => Change::Replace(extreme_value(g)),
                4..=5 => Change::Replace(other_value(g)),
                6 => Change::Remove,
                _ => Change::Duplicate,
            },
        }
    }
}

impl Mutation {
    /// Changes the value.
    pub fn apply(&self, value: &mut Value) {
        apply(value, &self.path, &self.change);
    }
}

fn apply(value: &mut Value, path: &[u8], change: &Change) {
    let Some((step, rest)) = path.split_first() else {
        return;
    };
    let is_last = |child: &Value| rest.is_empty() || !(child.is_array() || child.is_object());
    let step = usize::from(*step);
    match value {
        Value::Array(items) if !items.is_empty() => {
            let index = step % items.len();
            if !is_last(&items[index]) {
                return apply(&mut items[index], rest, change);
            }
            match change {
                Change::Replace(with) => items[index] = with.clone(),
                Change::Remove => drop(items.remove(index)),
                Change::Duplicate => items.push(items[index].clone()),
            }
        }
        Value::Object(fields) if !fields.is_empty() => {
            let name = fields.keys().nth(step % fields.len()).cloned();
            let name = name.expect("a field");
            if !is_last(&fields[&name]) {
                return apply(&mut fields[&name], rest, change);
            }
            match change {
                Change::Replace(with) => fields[&name] = with.clone(),
                Change::Remove => drop(fields.remove(&name)),
                Change::Duplicate => {
                    let copy = fields[&name].clone();
                    fields.insert(format!("{name}2"), copy);
                }
            }
        }
        _ => {}
    }
}

/// Returns a value with all mutations applied.
pub fn mutated(value: &Value, mutations: &[Mutation]) -> Value {
    let mut value = value.clone();
    for mutation in mutations {
        mutation.apply(&mut value);
    }
    value
}

/// Returns the text of a value, or a part of it: `cut` says where it is cut, if at all.
#[allow(dead_code, reason = "not every test reads bytes")]
pub fn bytes(value: &Value, cut: Option<u16>) -> Vec<u8> {
    let mut text = serde_json::to_vec(value).expect("a value");
    if let Some(cut) = cut {
        text.truncate(usize::from(cut) % (text.len() + 1));
    }
    text
}
