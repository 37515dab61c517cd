//! Lookup tables for the lists in force.

use std::collections::BTreeMap;

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

use crate::name::{Domain, Service, Workspace};

use super::{Call, EndpointEntry, Plan, Plans, Usage};

/// The lists in force, indexed for requests.
#[derive(Clone, Debug, Default)]
pub struct Table {
    plans: BTreeMap<Workspace, Plan>,
    /// Key hashes and their workspaces, by the first bytes of the hash.
    keys: BTreeMap<[u8; KEY_INDEX_BYTES], Vec<(Vec<u8>, Workspace)>>,
    usage: Usage,
}

/// Number of leading bytes of a key's hash that select the hashes to compare with.
const KEY_INDEX_BYTES: usize = 2;

impl Table {
    /// Builds the lookup tables for `plans` and `usage`.
    #[must_use]
    pub fn new(plans: &Plans, usage: &Usage) -> Self {
        let mut table = Self {
            usage: usage.clone(),
            ..Self::default()
        };
        for plan in &plans.workspaces {
            let workspace = Workspace::from(plan.workspace.as_str());
            for hash in &plan.key_hashes {
                let Ok(bytes) = hex::decode(hash.as_str()) else {
                    continue;
                };
                let Some(index) = bytes.first_chunk::<KEY_INDEX_BYTES>().copied() else {
                    continue;
                };
                table
                    .keys
                    .entry(index)
                    .or_default()
                    .push((bytes, workspace.clone()));
            }
            table.plans.insert(workspace, plan.clone());
        }
        table
    }

    /// The workspace of a bearer key, if the key is in a plan.
    ///
    /// The key is hashed, and the hash is compared in constant time.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        let hash = Sha256::digest(key.as_bytes());
        let index = hash.first_chunk::<KEY_INDEX_BYTES>()?;
        let candidates = self.keys.get(index)?;
        let matching = candidates
            .iter()
            .filter(|(known, _)| bool::from(known.as_slice().ct_eq(&hash)));
        matching.map(|(_, workspace)| workspace).next_back()
    }

    /// The plan of a workspace.
    #[must_use]
    pub fn plan(&self, workspace: &Workspace) -> Option<&Plan> {
        self.plans.get(workspace)
    }

    /// All plans by workspace.
    pub fn plans(&self) -> impl Iterator<Item = (&Workspace, &Plan)> {
        self.plans.iter()
    }

    /// The usage list.
    #[must_use]
    pub const fn usage(&self) -> &Usage {
        &self.usage
    }

    /// The endpoints of one failure domain.
    pub fn endpoints<'a>(&'a self, domain: &'a Domain) -> impl Iterator<Item = &'a EndpointEntry> {
        let here = move |entry: &&EndpointEntry| entry.domain.as_str() == domain.as_str();
        self.usage.endpoints.iter().filter(here)
    }

    /// The entry of the call `name` of `service`.
    #[must_use]
    pub fn call(&self, service: &Service, name: &str) -> Option<&Call> {
        let named = |entry: &&super::ServiceEntry| entry.name.as_str() == service.as_str();
        let entry = self.usage.services.iter().find(named)?;
        entry.calls.iter().find(|call| call.name.as_str() == name)
    }
}
