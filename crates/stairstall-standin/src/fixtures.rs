//! Names, customers and classes that tests and workloads share.

use stairstall_core::Labels;
use stairstall_core::config::{Configuration, Customer, Guarantee, PriorityClass, Revision};
use stairstall_core::placement::Shape;

/// Makes a name that is known to be allowed.
///
/// # Panics
///
/// Panics where it is not.
#[must_use]
pub fn named<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text:?} is not an allowed name"))
}

/// Returns a configuration with these customers and the class `batch`.
#[must_use]
pub fn configuration<'a>(customers: impl IntoIterator<Item = &'a str>) -> Configuration {
    let mut configuration = Configuration {
        revision: Revision(1),
        ..Configuration::default()
    };
    for customer in customers {
        let customer = Customer {
            name: named(customer),
            labels: Labels::default(),
            weight: 1,
            quota: None,
        };
        configuration
            .customers
            .insert(customer.name.clone(), customer);
    }
    let batch = PriorityClass {
        name: named("batch"),
        labels: Labels::default(),
        level: 10,
        weight: 1,
        preempts: false,
    };
    configuration.classes.insert(batch.name.clone(), batch);
    configuration
}

/// Adds a guarantee in the zone `zone-a`.
pub fn guarantee(configuration: &mut Configuration, name: &str, customer: &str, shape: Shape) {
    let guarantee = Guarantee {
        name: named(name),
        labels: Labels::default(),
        customer: named(customer),
        zone: named("zone-a"),
        shape,
    };
    configuration
        .guarantees
        .insert(guarantee.name.clone(), guarantee);
}
