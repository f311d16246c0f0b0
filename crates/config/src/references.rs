//! Checks that ids are unique and that references point to defined ids.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    fmt::Display,
    net::SocketAddr,
};

use lynxmount_core::{FailureDomainId, ProcessId, RegionId, ServiceId, TeamId};

use crate::{
    TokenDigest,
    jsonc::{Document, Position},
};

/// Path prefix of the callers' port that would collide with a service of this name.
const RESERVED_SERVICE: &str = "v1";

/// Namespace within which each value must be unique.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Namespace {
    Address,
    Domain,
    Process,
    Region,
    Service,
    Team,
    Token,
}

impl Namespace {
    fn name(self) -> &'static str {
        match self {
            Namespace::Address => "address",
            Namespace::Domain => "failure domain",
            Namespace::Process => "process",
            Namespace::Region => "region",
            Namespace::Service => "service",
            Namespace::Team => "team",
            Namespace::Token => "token",
        }
    }
}

/// Definitions and uses of ids, collected while a fleet file is read.
pub(crate) struct References<'a, 'd> {
    document: &'d Document<'a>,
    defined: RefCell<BTreeMap<Namespace, BTreeSet<String>>>,
    used: RefCell<Vec<(Namespace, String, Position)>>,
}

impl<'a, 'd> References<'a, 'd> {
    pub(crate) fn new(document: &'d Document<'a>) -> References<'a, 'd> {
        References { document, defined: RefCell::default(), used: RefCell::default() }
    }

    pub(crate) fn define_address(&self, address: &Option<SocketAddr>, position: Position) {
        self.define(Namespace::Address, address.as_ref(), position);
    }

    pub(crate) fn define_domain(&self, id: &FailureDomainId, position: Position) {
        self.define(Namespace::Domain, Some(id), position);
    }

    pub(crate) fn define_process(&self, id: &Option<ProcessId>, position: Position) {
        self.define(Namespace::Process, id.as_ref(), position);
    }

    pub(crate) fn define_region(&self, id: &Option<RegionId>, position: Position) {
        self.define(Namespace::Region, id.as_ref(), position);
    }

    pub(crate) fn define_service(&self, id: &Option<ServiceId>, position: Position) {
        if id.as_deref() == Some(RESERVED_SERVICE) {
            let wrong = format!("\"{RESERVED_SERVICE}\" is a path of lynxmount's own");
            self.document.report(&position, wrong, "another name");
        }
        self.define(Namespace::Service, id.as_ref(), position);
    }

    pub(crate) fn define_team(&self, id: &Option<TeamId>, position: Position) {
        self.define(Namespace::Team, id.as_ref(), position);
    }

    pub(crate) fn define_token(&self, digest: &Option<TokenDigest>, position: Position) {
        self.define(Namespace::Token, digest.map(|d| format!("{:?}", d.0)).as_ref(), position);
    }

    pub(crate) fn use_domain(&self, id: &Option<FailureDomainId>, position: Position) {
        self.record_use(Namespace::Domain, id.as_ref(), position);
    }

    pub(crate) fn use_service(&self, id: &Option<ServiceId>, position: Position) {
        self.record_use(Namespace::Service, id.as_ref(), position);
    }

    /// Reports every use of an undefined id.
    pub(crate) fn check(&self) {
        let defined = self.defined.borrow();
        let empty = BTreeSet::new();
        for (namespace, id, position) in self.used.borrow().iter() {
            let ids = defined.get(namespace).unwrap_or(&empty);
            if !ids.contains(id) {
                let known: Vec<&str> = ids.iter().map(String::as_str).collect();
                let wrong = format!("there is no {} \"{id}\"", namespace.name());
                self.document.report(position, wrong, format!("one of: {}", known.join(", ")));
            }
        }
    }

    fn define<T: Display + ?Sized>(
        &self,
        namespace: Namespace,
        id: Option<&T>,
        position: Position,
    ) {
        let Some(id) = id else { return };
        let is_new = self.defined.borrow_mut().entry(namespace).or_default().insert(id.to_string());
        match (is_new, namespace) {
            (true, _) => {}
            (false, Namespace::Token) => {
                self.document.report(
                    &position,
                    "another team has the same token",
                    "a token of its own",
                );
            }
            (false, _) => {
                let wrong = format!("the {} \"{id}\" is there twice", namespace.name());
                self.document.report(&position, wrong, "each once");
            }
        }
    }

    fn record_use<T: Display + ?Sized>(
        &self,
        namespace: Namespace,
        id: Option<&T>,
        position: Position,
    ) {
        self.used.borrow_mut().extend(id.map(|id| (namespace, id.to_string(), position)));
    }
}
