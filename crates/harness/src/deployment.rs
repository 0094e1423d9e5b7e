//! Two example deployments at their current size, with specs of simulated
//! endpoints.

use {
    coord::{
        ids::{Class, Slots},
        tables::{Pool, PoolKind, Route, Stage},
        time::Millis,
    },
    serde::Serialize,
    standin::{EndpointSpec, Kind},
};

const MODEL_STAGES: [&str; 3] = ["encode", "retrieve", "rerank"];
const DEADLINE: Millis = Millis(4000);

/// The pools, routes, endpoints and kinds of requests of one user.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub user: &'static str,
    pub domains: [&'static str; 3],
    pub teams: [&'static str; 5],
    pub pools: Vec<Pool>,
    pub routes: Vec<Route>,
    pub endpoints: Vec<EndpointSpec>,
    /// The kinds of requests that are safe to repeat.
    pub kinds: Vec<RequestKind>,
    /// The route with an effect; its requests must run at most once.
    pub effect_route: String,
}

/// A kind of request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestKind {
    pub route: String,
    pub class: Class,
    /// The input size in bytes.
    pub size: usize,
    /// The relative frequency.
    pub weight: u32,
    pub deadline: Millis,
}

/// The routes and pools in the JSON format that the command-line tool reads.
#[derive(Serialize)]
pub struct TablesFile {
    pub routes: Vec<Route>,
    pub pools: Vec<Pool>,
}

impl Deployment {
    /// The deployment of Kilimo Wig Bank Fittings.
    pub fn kilimo() -> Self {
        let mut it = Self::empty(
            "kilimo",
            ["dar-a", "dar-b", "dar-c"],
            ["salons-north", "salons-south", "stockroom", "fitters", "desk"],
        );
        it.add_pipeline("fitting", 12);
        it.add_service("booking", 5, false);
        it.add_service("rostering", 5, false);
        it.add_service("supplier", 5, false);
        it.add_service("ledger", 3, true);
        it.add_kind("fitting", Class::Interactive, 400, 5);
        it.add_kind("fitting", Class::Standard, 20_000, 3);
        it.add_kind("fitting", Class::Batch, 8000, 1);
        it.add_kind("booking", Class::Interactive, 200, 2);
        it.add_kind("rostering", Class::Standard, 200, 1);
        it.add_kind("supplier", Class::Standard, 400, 1);
        it
    }

    /// The deployment of Küdoonia Pasta Frantsiis.
    pub fn kudoonia() -> Self {
        let mut it = Self::empty(
            "kudoonia",
            ["harju-a", "harju-b", "harju-c"],
            ["kitchen-1", "kitchen-2", "managers", "tills", "suppliers"],
        );
        it.add_pipeline("recipe-notes", 9);
        it.add_service("recipe", 5, false);
        it.add_service("batch-sheet", 4, false);
        it.add_service("franchisee", 3, false);
        it.add_service("ordering", 3, true);
        it.add_kind("recipe-notes", Class::Interactive, 300, 4);
        it.add_kind("recipe-notes", Class::Standard, 30_000, 3);
        it.add_kind("recipe-notes", Class::Batch, 10_000, 2);
        it.add_kind("recipe", Class::Interactive, 200, 2);
        it.add_kind("batch-sheet", Class::Standard, 500, 1);
        it.add_kind("franchisee", Class::Standard, 300, 1);
        it
    }

    /// The combined tables of several deployments.
    pub fn tables(all: &[Self]) -> TablesFile {
        TablesFile {
            routes: all.iter().flat_map(|it| it.routes.clone()).collect(),
            pools: all.iter().flat_map(|it| it.pools.clone()).collect(),
        }
    }

    /// The pool that limits the throughput of the model pipeline.
    pub fn bottleneck(&self) -> String {
        format!("{}-generate", self.user)
    }

    /// The specs of one pool's endpoints.
    pub fn endpoints_of(&self, pool: &str) -> Vec<&EndpointSpec> {
        self.endpoints.iter().filter(|it| it.pool.as_str() == pool).collect()
    }

    fn empty(user: &'static str, domains: [&'static str; 3], teams: [&'static str; 5]) -> Self {
        Self {
            user,
            domains,
            teams,
            pools: Vec::new(),
            routes: Vec::new(),
            endpoints: Vec::new(),
            kinds: Vec::new(),
            effect_route: String::new(),
        }
    }

    /// Adds a route with the stages encode, retrieve, rerank and generate.
    /// `replicas` is the number of generate endpoints.
    fn add_pipeline(&mut self, route: &str, replicas: usize) {
        let user = self.user;
        let pool = |stage: &str| format!("{user}-{stage}");
        let mut stages = Vec::new();
        for stage in MODEL_STAGES {
            self.add_pool(&pool(stage), PoolKind::Model);
            self.add_replicas(&pool(stage), 3, engine_spec(4, 15, 1, 1));
            stages.push(new_stage(stage, &pool(stage), false));
        }
        self.add_pool(&pool("generate"), PoolKind::Model);
        self.add_replicas(&pool("generate"), replicas, engine_spec(4, 60, 4, 16));
        stages.push(new_stage("generate", &pool("generate"), false));
        self.routes.push(Route { name: name(route), stages, deadline: DEADLINE });
    }

    fn add_service(&mut self, route: &str, replicas: usize, effect: bool) {
        let pool = format!("{}-{route}", self.user);
        self.add_pool(&pool, PoolKind::Service);
        self.add_replicas(&pool, replicas, service_spec());
        let stages = vec![new_stage("call", &pool, effect)];
        self.routes.push(Route { name: name(route), stages, deadline: DEADLINE });
        if effect {
            self.effect_route = route.to_owned();
        }
    }

    fn add_pool(&mut self, pool: &str, kind: PoolKind) {
        self.pools.push(Pool { name: name(pool), kind });
    }

    fn add_replicas(&mut self, pool: &str, count: usize, template: EndpointSpec) {
        for i in 0..count {
            let domain = name(self.domains[i % self.domains.len()]);
            let endpoint = name(&format!("{pool}-{i}"));
            let spec =
                EndpointSpec { name: endpoint, pool: name(pool), domain, ..template.clone() };
            self.endpoints.push(spec);
        }
    }

    fn add_kind(&mut self, route: &str, class: Class, size: usize, weight: u32) {
        let route = route.to_owned();
        self.kinds.push(RequestKind { route, class, size, weight, deadline: DEADLINE });
    }
}

fn engine_spec(slots: u32, base_ms: u64, size_ms: u64, pieces: u32) -> EndpointSpec {
    EndpointSpec {
        name: name("template"),
        pool: name("template"),
        domain: name("template"),
        kind: Kind::Engine,
        slots: Slots(slots),
        cold_slots: Slots(1),
        cold_ms: 1500,
        base_ms,
        size_ms,
        pieces,
        piece_ms: if pieces > 1 { 15 } else { 1 },
        listen: "127.0.0.1:0".parse().expect("the address is valid"),
    }
}

fn service_spec() -> EndpointSpec {
    EndpointSpec {
        kind: Kind::Service,
        cold_slots: Slots(2),
        cold_ms: 300,
        ..engine_spec(8, 8, 0, 1)
    }
}

fn new_stage(stage: &str, pool: &str, effect: bool) -> Stage {
    Stage { name: name(stage), pool: name(pool), after: Vec::new(), effect }
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the name is valid")
}
