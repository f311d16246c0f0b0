//! Ids that must be unique, and references that must lead somewhere.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    fmt::Display,
    net::SocketAddr,
};

use lynxmount_core::{FailureDomainId, ProcessId, RegionId, ServiceId, TeamId};

use crate::{
    TokenDigest,
    jsonc::{Document, Place},
};

/// Path prefixes on the callers' port that no service may have as its name.
const RESERVED_SERVICE: &str = "v1";

/// What must be unique among its like.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Kind {
    Address,
    Domain,
    Process,
    Region,
    Service,
    Team,
    Token,
}

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Kind::Address => "address",
            Kind::Domain => "failure domain",
            Kind::Process => "process",
            Kind::Region => "region",
            Kind::Service => "service",
            Kind::Team => "team",
            Kind::Token => "token",
        }
    }
}

/// Collects definitions and uses while a fleet file is read.
pub(crate) struct References<'a, 'd> {
    document: &'d Document<'a>,
    defined: RefCell<BTreeMap<Kind, BTreeSet<String>>>,
    used: RefCell<Vec<(Kind, String, Place)>>,
}

impl<'a, 'd> References<'a, 'd> {
    pub(crate) fn new(document: &'d Document<'a>) -> References<'a, 'd> {
        References { document, defined: RefCell::default(), used: RefCell::default() }
    }

    pub(crate) fn define_address(&self, address: &Option<SocketAddr>, place: Place) {
        self.define(Kind::Address, address.as_ref(), place);
    }

    pub(crate) fn define_domain(&self, id: &FailureDomainId, place: Place) {
        self.define(Kind::Domain, Some(id), place);
    }

    pub(crate) fn define_process(&self, id: &Option<ProcessId>, place: Place) {
        self.define(Kind::Process, id.as_ref(), place);
    }

    pub(crate) fn define_region(&self, id: &Option<RegionId>, place: Place) {
        self.define(Kind::Region, id.as_ref(), place);
    }

    pub(crate) fn define_service(&self, id: &Option<ServiceId>, place: Place) {
        if id.as_deref() == Some(RESERVED_SERVICE) {
            let wrong = format!("\"{RESERVED_SERVICE}\" is a path of lynxmount's own");
            self.document.complain(&place, wrong, "another name");
        }
        self.define(Kind::Service, id.as_ref(), place);
    }

    pub(crate) fn define_team(&self, id: &Option<TeamId>, place: Place) {
        self.define(Kind::Team, id.as_ref(), place);
    }

    pub(crate) fn define_token(&self, digest: &Option<TokenDigest>, place: Place) {
        self.define(Kind::Token, digest.map(|d| format!("{:?}", d.0)).as_ref(), place);
    }

    pub(crate) fn use_domain(&self, id: &Option<FailureDomainId>, place: Place) {
        self.note_use(Kind::Domain, id.as_ref(), place);
    }

    pub(crate) fn use_service(&self, id: &Option<ServiceId>, place: Place) {
        self.note_use(Kind::Service, id.as_ref(), place);
    }

    /// Complains about every use of something that is nowhere defined.
    pub(crate) fn check(&self) {
        let defined = self.defined.borrow();
        let nothing = BTreeSet::new();
        for (kind, id, place) in self.used.borrow().iter() {
            let ids = defined.get(kind).unwrap_or(&nothing);
            if !ids.contains(id) {
                let known: Vec<&str> = ids.iter().map(String::as_str).collect();
                let wrong = format!("there is no {} \"{id}\"", kind.name());
                self.document.complain(place, wrong, format!("one of: {}", known.join(", ")));
            }
        }
    }

    fn define<T: Display + ?Sized>(&self, kind: Kind, id: Option<&T>, place: Place) {
        let Some(id) = id else { return };
        let is_new = self.defined.borrow_mut().entry(kind).or_default().insert(id.to_string());
        match (is_new, kind) {
            (true, _) => {}
            (false, Kind::Token) => {
                self.document.complain(
                    &place,
                    "another team has the same token",
                    "a token of its own",
                );
            }
            (false, _) => {
                let wrong = format!("the {} \"{id}\" is there twice", kind.name());
                self.document.complain(&place, wrong, "each once");
            }
        }
    }

    fn note_use<T: Display + ?Sized>(&self, kind: Kind, id: Option<&T>, place: Place) {
        self.used.borrow_mut().extend(id.map(|id| (kind, id.to_string(), place)));
    }
}
