//! The versioned cluster configuration.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertcleat_base::AdapterName;
use filbertcleat_base::AdapterRef;
use filbertcleat_base::AdapterVersion;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::ModelName;
use filbertcleat_base::RequestId;
use filbertcleat_base::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::AdapterConfig;
use crate::Canary;
use crate::Change;
use crate::Limits;
use crate::ObjectiveWeights;
use crate::Patch;
use crate::PatchError;
use crate::Policy;
use crate::ServiceConfig;
use crate::ServiceKind;

/// One version of the cluster configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The version, which increases by one with each patch; the empty configuration has version 0.
    pub version: ConfigVersion,
    /// The known base models.
    pub models: BTreeSet<ModelName>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// The adapters by name.
    pub adapters: BTreeMap<AdapterName, AdapterConfig>,
    /// The weights of the optimization objectives.
    pub weights: ObjectiveWeights,
    /// The request limits.
    pub limits: Limits,
    /// The routing and scheduling policies.
    pub policy: Policy,
}

impl Configuration {
    /// Returns the next version of the configuration, with all changes of `patch` applied.
    ///
    /// Fails if the patch is based on another version, is empty or has an invalid change.
    pub fn apply(&self, patch: &Patch) -> Result<Self, PatchError> {
        if patch.base != self.version {
            return Err(PatchError::Stale { base: patch.base, head: self.version });
        }
        if patch.changes.is_empty() {
            return Err(PatchError::invalid("changes", "patch has no changes"));
        }

        let mut next = self.clone();
        next.version = self.version.next();
        for (index, change) in patch.changes.iter().enumerate() {
            next.apply_change(change).map_err(|error| error.at(index))?;
        }

        Ok(next)
    }

    /// Resolves the `model` field of a request to an adapter version and its service.
    ///
    /// The field is an adapter's name or `name@version`. Without a version, the adapter's
    /// configuration selects one for the request.
    pub fn resolve(
        &self,
        model: &str,
        request: &RequestId,
    ) -> Result<(AdapterRef, &ServiceName), ResolveError> {
        if let Some((name, config)) = self.adapters.get_key_value(model) {
            let adapter = AdapterRef::new(name.clone(), config.version_for(request));
            return Ok((adapter, &config.service));
        }

        let adapter: AdapterRef = model
            .parse()
            .ok()
            .ok_or_else(|| ResolveError::UnknownAdapter { name: model.to_owned() })?;
        let config = self.adapters.get(&adapter.name).ok_or_else(|| {
            ResolveError::UnknownAdapter { name: adapter.name.as_str().to_owned() }
        })?;
        if !config.versions.contains(&adapter.version) {
            return Err(ResolveError::UnknownVersion { adapter });
        }

        Ok((adapter, &config.service))
    }

    fn apply_change(&mut self, change: &Change) -> Result<(), FieldError> {
        match change {
            Change::AddModel { model } => self.add_model(model),
            Change::SetService { service, entry } => self.set_service(service, entry),
            Change::RemoveService { service } => self.remove_service(service),
            Change::AddAdapter { adapter, model, service, version } => {
                self.add_adapter(adapter, model, service, *version)
            }
            Change::RemoveAdapter { adapter } => self.remove_adapter(adapter),
            Change::AddVersion { adapter, version } => self.add_version(adapter, *version),
            Change::RemoveVersion { adapter, version } => self.remove_version(adapter, *version),
            Change::Serve { adapter, version, canary } => {
                self.set_serving(adapter, *version, canary.as_ref())
            }
            Change::SetWeights { weights } => self.set_weights(*weights),
            Change::SetLimits { limits } => self.set_limits(*limits),
            Change::SetPolicy { policy } => {
                self.policy = *policy;
                Ok(())
            }
        }
    }

    fn add_model(&mut self, model: &ModelName) -> Result<(), FieldError> {
        check_name("model", model.as_str())?;
        if !self.models.insert(model.clone()) {
            return Err(FieldError::new("model", format!("model {model:?} already exists")));
        }
        Ok(())
    }

    fn set_service(
        &mut self,
        service: &ServiceName,
        config: &ServiceConfig,
    ) -> Result<(), FieldError> {
        check_name("service", service.as_str())?;
        if let ServiceKind::Engine(model) = &config.kind
            && !self.models.contains(model)
        {
            let reason = format!("model {:?} does not exist", model.as_str());
            return Err(FieldError::new("entry.model", reason));
        }
        let dependent = self.adapters.iter().find(|(_, adapter)| adapter.service == *service);
        if let Some((name, adapter)) = dependent
            && !matches!(&config.kind, ServiceKind::Engine(model) if *model == adapter.model)
        {
            let reason =
                format!("adapter {:?} requires model {:?}", name.as_str(), adapter.model.as_str());
            return Err(FieldError::new("entry", reason));
        }
        self.services.insert(service.clone(), config.clone());
        Ok(())
    }

    fn remove_service(&mut self, service: &ServiceName) -> Result<(), FieldError> {
        if let Some((name, _)) = self.adapters.iter().find(|(_, config)| config.service == *service)
        {
            let reason = format!("adapter {:?} uses service {:?}", name.as_str(), service.as_str());
            return Err(FieldError::new("service", reason));
        }
        if self.services.remove(service).is_none() {
            let reason = format!("service {:?} does not exist", service.as_str());
            return Err(FieldError::new("service", reason));
        }
        Ok(())
    }

    fn add_adapter(
        &mut self,
        adapter: &AdapterName,
        model: &ModelName,
        service: &ServiceName,
        version: AdapterVersion,
    ) -> Result<(), FieldError> {
        check_name("adapter", adapter.as_str())?;
        if self.adapters.contains_key(adapter) {
            let reason = format!("adapter {:?} already exists", adapter.as_str());
            return Err(FieldError::new("adapter", reason));
        }
        let config = self.services.get(service).ok_or_else(|| {
            FieldError::new("service", format!("service {:?} does not exist", service.as_str()))
        })?;
        if !matches!(&config.kind, ServiceKind::Engine(service_model) if service_model == model) {
            let reason = format!(
                "service {:?} has no engines with model {:?}",
                service.as_str(),
                model.as_str()
            );
            return Err(FieldError::new("model", reason));
        }

        let config = AdapterConfig {
            model: model.clone(),
            service: service.clone(),
            versions: BTreeSet::from([version]),
            serving: version,
            canary: None,
        };
        self.adapters.insert(adapter.clone(), config);
        Ok(())
    }

    fn remove_adapter(&mut self, adapter: &AdapterName) -> Result<(), FieldError> {
        self.adapters.remove(adapter).map(drop).ok_or_else(|| unknown_adapter(adapter))
    }

    fn add_version(
        &mut self,
        adapter: &AdapterName,
        version: AdapterVersion,
    ) -> Result<(), FieldError> {
        let config = self.adapter_mut(adapter)?;
        if !config.versions.insert(version) {
            let reason = format!("version {version} of {:?} already exists", adapter.as_str());
            return Err(FieldError::new("version", reason));
        }
        Ok(())
    }

    fn remove_version(
        &mut self,
        adapter: &AdapterName,
        version: AdapterVersion,
    ) -> Result<(), FieldError> {
        let config = self.adapter_mut(adapter)?;
        let in_canary = config.canary.as_ref().is_some_and(|canary| canary.version == version);
        if config.serving == version || in_canary {
            let reason = format!(
                "version {version} is the default or canary version of {:?}",
                adapter.as_str()
            );
            return Err(FieldError::new("version", reason));
        }
        if !config.versions.remove(&version) {
            return Err(unknown_version(adapter, version, "version"));
        }
        Ok(())
    }

    fn set_serving(
        &mut self,
        adapter: &AdapterName,
        version: AdapterVersion,
        canary: Option<&Canary>,
    ) -> Result<(), FieldError> {
        let config = self.adapter_mut(adapter)?;
        if !config.versions.contains(&version) {
            return Err(unknown_version(adapter, version, "version"));
        }
        if let Some(canary) = canary {
            if !config.versions.contains(&canary.version) {
                return Err(unknown_version(adapter, canary.version, "canary.version"));
            }
            if canary.share_percent > 100 {
                return Err(FieldError::new("canary.share_percent", "share is over 100 percent"));
            }
        }
        config.serving = version;
        config.canary = canary.cloned();
        Ok(())
    }

    fn set_weights(&mut self, weights: ObjectiveWeights) -> Result<(), FieldError> {
        if !weights.is_valid() {
            let reason = "weights must be at least 0 and not both 0";
            return Err(FieldError::new("weights", reason));
        }
        self.weights = weights;
        Ok(())
    }

    fn set_limits(&mut self, limits: Limits) -> Result<(), FieldError> {
        let shares = [
            ("limits.routine_share_percent", limits.routine_share_percent),
            ("limits.adapter_share_percent", limits.adapter_share_percent),
            ("limits.retry_share_percent", limits.retry_share_percent),
        ];
        for (path, share) in shares {
            if share == 0 || share > 100 {
                return Err(FieldError::new(path, "share must be from 1 to 100 percent"));
            }
        }
        if limits.attempts_max == 0 {
            return Err(FieldError::new("limits.attempts_max", "must be at least 1"));
        }
        if limits.waiting_max == 0 {
            return Err(FieldError::new("limits.waiting_max", "must be at least 1"));
        }
        self.limits = limits;
        Ok(())
    }

    fn adapter_mut(&mut self, adapter: &AdapterName) -> Result<&mut AdapterConfig, FieldError> {
        self.adapters.get_mut(adapter).ok_or_else(|| unknown_adapter(adapter))
    }
}

/// The reason for which a request's `model` field can't be resolved.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ResolveError {
    /// There is no adapter with this name.
    #[error("adapter {name:?} does not exist")]
    UnknownAdapter {
        /// The requested name.
        name: String,
    },
    /// The adapter exists, but not in this version.
    #[error("adapter {:?} has no version {}", adapter.name.as_str(), adapter.version)]
    UnknownVersion {
        /// The requested adapter version.
        adapter: AdapterRef,
    },
}

/// An invalid field of a change.
struct FieldError {
    field: &'static str,
    reason: String,
}

impl FieldError {
    fn new(field: &'static str, reason: impl Into<String>) -> Self {
        Self { field, reason: reason.into() }
    }

    /// Converts the error of the change at `index` into the error of the patch.
    fn at(self, index: usize) -> PatchError {
        PatchError::invalid(format_args!("changes[{index}].{}", self.field), self.reason)
    }
}

fn check_name(field: &'static str, name: &str) -> Result<(), FieldError> {
    const NAME_MAX_BYTES: usize = 200;
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');

    if name.is_empty() || name.len() > NAME_MAX_BYTES || !name.chars().all(allowed) {
        let reason = format!("name {name:?} must be 1 to 200 letters, digits or any of - _ . :");
        return Err(FieldError::new(field, reason));
    }
    Ok(())
}

fn unknown_adapter(adapter: &AdapterName) -> FieldError {
    FieldError::new("adapter", format!("adapter {:?} does not exist", adapter.as_str()))
}

fn unknown_version(
    adapter: &AdapterName,
    version: AdapterVersion,
    field: &'static str,
) -> FieldError {
    FieldError::new(field, format!("adapter {:?} has no version {version}", adapter.as_str()))
}
