//! Grid of measured sizes: one factor varies at a time, the others keep their base value.

/// A size that is varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum CapacityFactor {
    /// Teams in the configuration, all of which send requests.
    #[display("teams")]
    Teams,
    /// Engines, each with an agent.
    #[display("upstreams")]
    Upstreams,
    /// Routers that share the load.
    #[display("routers")]
    Routers,
    /// Requests per second.
    #[display("rate")]
    Rate,
}

/// A point of the grid: the size of the fleet and its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CapacityPoint {
    /// Number of teams.
    pub teams: usize,
    /// Number of engines.
    pub upstreams: usize,
    /// Number of routers.
    pub routers: usize,
    /// Requests per second.
    pub rate: u32,
}

/// Values of the factors that are not varied.
const BASE_POINT: CapacityPoint = CapacityPoint { teams: 64, upstreams: 8, routers: 2, rate: 100 };

impl CapacityPoint {
    /// Returns the value of a factor.
    pub fn value(&self, factor: CapacityFactor) -> f64 {
        match factor {
            CapacityFactor::Teams => self.teams as f64,
            CapacityFactor::Upstreams => self.upstreams as f64,
            CapacityFactor::Routers => self.routers as f64,
            CapacityFactor::Rate => f64::from(self.rate),
        }
    }
}

/// Returns the points of the grid, each with the factor that it varies.
pub fn capacity_grid() -> Vec<(CapacityFactor, CapacityPoint)> {
    let teams = [16, 64, 256, 810].map(|teams| CapacityPoint { teams, ..BASE_POINT });
    let upstreams = [4, 8, 16, 32].map(|upstreams| CapacityPoint { upstreams, ..BASE_POINT });
    let routers = [1, 2, 4, 8].map(|routers| CapacityPoint { routers, ..BASE_POINT });
    let rates = [0, 50, 100, 200].map(|rate| CapacityPoint { rate, ..BASE_POINT });
    let varied = [
        (CapacityFactor::Teams, teams),
        (CapacityFactor::Upstreams, upstreams),
        (CapacityFactor::Routers, routers),
        (CapacityFactor::Rate, rates),
    ];
    let varied = varied.into_iter();
    varied.flat_map(|(factor, points)| points.map(|point| (factor, point))).collect()
}
