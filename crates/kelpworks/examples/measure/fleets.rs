//! Random mixed fleets for the measurement of placement, reproducible from a seed.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use kelpworks::fleet::DomainKey;
use kelpworks::fleet::LinkCost;
use kelpworks::fleet::ModelKey;
use kelpworks::placement::HostSpec;
use kelpworks::placement::Input;
use kelpworks::placement::ModelSpec;
use kelpworks::units::Rate;
use kelpworks::units::Size;

const GB: u64 = 1_000_000_000;
/// Read rate of the weight store, in bytes a second.
const WEIGHT_RATE: u64 = 20 * GB;

/// A kind of accelerator.
#[derive(Clone, Copy)]
pub(crate) struct Kind {
    /// Layers a second, each for one token.
    rate: f64,
    /// Memory, in gigabytes.
    memory: u64,
    /// Relative probability that a host has this kind.
    share: u32,
}

#[derive(Clone, Copy)]
pub(crate) struct ModelShape {
    layers: u32,
    /// Megabytes a layer.
    layer_mb: u64,
    /// Demand relative to the other models.
    demand: f64,
}

/// Parameters from which a fleet is drawn.
pub(crate) struct FleetShape {
    /// Name in the table of results.
    pub(crate) name: &'static str,
    /// Engine hosts.
    pub(crate) hosts: u32,
    /// Accelerators a host.
    accelerators: u32,
    /// Number of failure domains in each region.
    regions: &'static [u16],
    /// One-way latency within a domain, between domains of a region, between regions; microseconds.
    latency_us: [u64; 3],
    kinds: &'static [Kind],
    models: &'static [ModelShape],
    /// Probability that a host is allowed to load a model; each host is allowed at least one.
    allowed: f64,
    /// Probability that a host is placed in the first failure domain; otherwise its domain is drawn
    /// uniformly.
    skew: f64,
}

const SMALL: Kind = Kind {
    rate: 9_000.0,
    memory: 24,
    share: 2,
};
const MIDDLE: Kind = Kind {
    rate: 17_000.0,
    memory: 48,
    share: 2,
};
const LARGE: Kind = Kind {
    rate: 41_000.0,
    memory: 80,
    share: 1,
};
const OLD: Kind = Kind {
    rate: 6_500.0,
    memory: 32,
    share: 1,
};
const WIDE: Kind = Kind {
    rate: 58_000.0,
    memory: 141,
    share: 1,
};

// Each model is larger than the weights that any host of its fleets can hold.
const CAPTION: ModelShape = ModelShape {
    layers: 80,
    layer_mb: 1750,
    demand: 1.0,
};
const REPORT: ModelShape = ModelShape {
    layers: 64,
    layer_mb: 2100,
    demand: 1.0,
};
const PAIR_A: ModelShape = ModelShape {
    layers: 80,
    layer_mb: 3500,
    demand: 1.0,
};
const PAIR_B: ModelShape = ModelShape {
    layers: 64,
    layer_mb: 4200,
    demand: 1.0,
};
const WIDE_A: ModelShape = ModelShape {
    layers: 80,
    layer_mb: 6000,
    demand: 1.0,
};
const WIDE_B: ModelShape = ModelShape {
    layers: 64,
    layer_mb: 8000,
    demand: 1.0,
};
const WIDE_C: ModelShape = ModelShape {
    layers: 48,
    layer_mb: 10000,
    demand: 3.0,
};
const HUGE_A: ModelShape = ModelShape {
    layers: 126,
    layer_mb: 7500,
    demand: 1.0,
};
const HUGE_B: ModelShape = ModelShape {
    layers: 80,
    layer_mb: 12000,
    demand: 1.0,
};
const HUGE_C: ModelShape = ModelShape {
    layers: 61,
    layer_mb: 15500,
    demand: 2.0,
};
const HUGE_D: ModelShape = ModelShape {
    layers: 96,
    layer_mb: 10000,
    demand: 0.5,
};

/// Shapes of the measured fleets, one for each row of the table.
pub(crate) const FLEETS: &[FleetShape] = &[
    FleetShape {
        name: "aralsky-40",
        hosts: 40,
        accelerators: 2,
        regions: &[3],
        latency_us: [50, 700, 700],
        kinds: &[SMALL, MIDDLE, LARGE],
        models: &[CAPTION],
        allowed: 1.0,
        skew: 0.0,
    },
    FleetShape {
        name: "nile-delta-40",
        hosts: 40,
        accelerators: 2,
        regions: &[3],
        latency_us: [50, 700, 700],
        kinds: &[MIDDLE, LARGE],
        models: &[REPORT],
        allowed: 1.0,
        skew: 0.0,
    },
    FleetShape {
        name: "skewed-domains-40",
        hosts: 40,
        accelerators: 2,
        regions: &[3],
        latency_us: [50, 700, 700],
        kinds: &[SMALL, MIDDLE, LARGE],
        models: &[CAPTION],
        allowed: 1.0,
        skew: 0.6,
    },
    FleetShape {
        name: "small-memory-40",
        hosts: 40,
        accelerators: 1,
        regions: &[3],
        latency_us: [50, 700, 700],
        kinds: &[SMALL, OLD, WIDE],
        models: &[CAPTION],
        allowed: 1.0,
        skew: 0.0,
    },
    FleetShape {
        name: "two-models-40",
        hosts: 40,
        accelerators: 4,
        regions: &[3],
        latency_us: [50, 700, 700],
        kinds: &[SMALL, MIDDLE, LARGE],
        models: &[PAIR_A, PAIR_B],
        allowed: 0.8,
        skew: 0.0,
    },
    FleetShape {
        name: "few-hosts-12",
        hosts: 12,
        accelerators: 2,
        regions: &[3],
        latency_us: [50, 700, 700],
        kinds: &[MIDDLE, LARGE],
        models: &[CAPTION],
        allowed: 1.0,
        skew: 0.0,
    },
    FleetShape {
        name: "own-hosts-60",
        hosts: 60,
        accelerators: 4,
        regions: &[3],
        latency_us: [50, 700, 700],
        kinds: &[SMALL, MIDDLE, LARGE],
        models: &[PAIR_A, PAIR_B],
        allowed: 0.1,
        skew: 0.3,
    },
    FleetShape {
        name: "five-kinds-100",
        hosts: 100,
        accelerators: 4,
        regions: &[2, 2],
        latency_us: [50, 500, 5_000],
        kinds: &[SMALL, MIDDLE, LARGE, OLD, WIDE],
        models: &[WIDE_A],
        allowed: 1.0,
        skew: 0.0,
    },
    FleetShape {
        name: "three-models-100",
        hosts: 100,
        accelerators: 4,
        regions: &[2, 2],
        latency_us: [50, 500, 5_000],
        kinds: &[SMALL, MIDDLE, LARGE, OLD, WIDE],
        models: &[WIDE_A, WIDE_B, WIDE_C],
        allowed: 0.6,
        skew: 0.2,
    },
    FleetShape {
        name: "one-model-200",
        hosts: 200,
        accelerators: 8,
        regions: &[2, 2],
        latency_us: [50, 500, 5_000],
        kinds: &[SMALL, MIDDLE, LARGE, OLD, WIDE],
        models: &[HUGE_A],
        allowed: 1.0,
        skew: 0.0,
    },
    FleetShape {
        name: "target-600",
        hosts: 600,
        accelerators: 8,
        regions: &[2, 2],
        latency_us: [50, 500, 5_000],
        kinds: &[SMALL, MIDDLE, LARGE, OLD, WIDE],
        models: &[HUGE_A, HUGE_B, HUGE_C, HUGE_D],
        allowed: 0.7,
        skew: 0.0,
    },
];

/// Draws a fleet; the same shape and seed give the same fleet.
pub(crate) fn draw(shape: &FleetShape, seed: u64) -> Input {
    let mut rng = StdRng::seed_from_u64(seed);
    let domains: u16 = shape.regions.iter().sum();
    let hosts = (0..shape.hosts).map(|i| draw_host(shape, domains, i, &mut rng));
    let hosts = hosts.collect();
    let models = shape.models.iter().enumerate().map(|(i, m)| ModelSpec {
        name: Arc::from(format!("model-{i}")),
        version: Arc::from("v1"),
        layers: m.layers,
        layer_size: Size(m.layer_mb * 1_000_000),
        demand: m.demand,
    });
    Input {
        domains: (0..domains)
            .map(|d| Arc::from(format!("domain-{d}")))
            .collect(),
        hosts,
        models: models.collect(),
        links: links(shape, domains),
        loaded_ranges: Vec::new(),
        weight_rate: Rate(WEIGHT_RATE),
    }
}

fn draw_host(shape: &FleetShape, domains: u16, index: u32, rng: &mut StdRng) -> HostSpec {
    let total: u32 = shape.kinds.iter().map(|k| k.share).sum();
    let mut drawn = rng.random_range(0..total);
    let mut kind = shape.kinds[0];
    for k in shape.kinds {
        kind = *k;
        if drawn < k.share {
            break;
        }
        drawn -= k.share;
    }
    let skewed = rng.random_bool(shape.skew);
    let domain = if skewed {
        0
    } else {
        rng.random_range(0..domains)
    };
    let count = shape.models.len();
    let guaranteed = rng.random_range(0..count);
    let allowed_models = (0..count).filter(|&m| m == guaranteed || rng.random_bool(shape.allowed));
    HostSpec {
        name: Arc::from(format!("host-{index}")),
        domain: DomainKey(domain),
        memory: Size(kind.memory * u64::from(shape.accelerators) * GB),
        layer_rate: kind.rate * f64::from(shape.accelerators),
        models: allowed_models.map(|m| ModelKey(m as u16)).collect(),
        live: true,
    }
}

fn links(shape: &FleetShape, domains: u16) -> Vec<LinkCost> {
    let region = |d: u16| {
        let mut end = 0;
        shape.regions.iter().position(|&r| {
            end += r;
            d < end
        })
    };
    let mut links = Vec::new();
    for a in 0..domains {
        for b in 0..domains {
            let [same_domain, same_region, other_region] = shape.latency_us;
            let us = match (a == b, region(a) == region(b)) {
                (true, _) => same_domain,
                (false, true) => same_region,
                (false, false) => other_region,
            };
            links.push(LinkCost {
                latency: Duration::from_micros(us),
                bytes_per_second: 100 * GB / us,
            });
        }
    }
    links
}
