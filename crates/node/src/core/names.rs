//! Looks up the classes and tenants of the platform's settings by name.

use super::RequestError;
use marbledeck_dispatcher::{Class, ClassId, Idempotency, Micros, Settings, TenantId};
use marbledeck_platform_settings::PlatformSettings;

/// The names of the classes and tenants, and the limit of open requests.
#[derive(Clone, Debug, Default)]
pub struct NameRegistry {
    classes: Vec<(String, Class)>,
    tenants: Vec<String>,
    pub(super) max_open_requests: usize,
}

impl NameRegistry {
    /// Combines the names in the platform settings with the dispatcher's settings of the classes.
    pub fn new(platform: &PlatformSettings, settings: &Settings) -> Self {
        let names = platform.classes.iter().map(|class| class.name.clone());
        let classes = settings.classes.iter().cloned();
        let tenants = platform.tenants.iter().map(|tenant| tenant.name.clone());
        let max_open_requests = platform.limits.max_open_requests;
        NameRegistry {
            classes: names.zip(classes).collect(),
            tenants: tenants.collect(),
            max_open_requests: max_open_requests.map_or(usize::MAX, |max| max as usize),
        }
    }

    /// The names of the classes, in the order of the settings.
    pub fn class_names(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(|(name, _)| name.as_str())
    }

    /// The id and settings of a class.
    pub fn class(&self, name: &str) -> Option<(ClassId, &Class)> {
        let index = self.classes.iter().position(|(known, _)| known == name)?;
        Some((ClassId(index as u32), &self.classes[index].1))
    }

    /// Resolves the names of a request's class and tenant to ids. `has_key` says whether the request has an idempotency
    /// key.
    ///
    /// # Errors
    /// The class or tenant is unknown, or the class requires a key and the request has none.
    pub fn resolve(
        &self,
        class: &str,
        tenant: Option<&str>,
        has_key: bool,
    ) -> Result<(ClassId, TenantId), RequestError> {
        let found = self.class(class);
        let (id, settings) = found.ok_or_else(|| RequestError::UnknownClass(class.into()))?;
        let unknown = || RequestError::UnknownTenant(tenant.unwrap_or_default().into());
        let tenant = self.tenant(tenant).ok_or_else(unknown)?;
        if matches!(settings.idempotency, Idempotency::Keyed { .. }) && !has_key {
            return Err(RequestError::MissingKey);
        }
        Ok((id, tenant))
    }

    /// Whether requests of a class must not run twice.
    pub(super) fn must_run_once(&self, class: ClassId) -> bool {
        let class = self.classes.get(class.0 as usize);
        class.is_some_and(|(_, class)| !matches!(class.idempotency, Idempotency::Idempotent))
    }

    /// The names of the tenants, in the order of the settings.
    pub fn tenants(&self) -> &[String] {
        &self.tenants
    }

    /// The longest deadline of any class.
    pub fn max_deadline(&self) -> Micros {
        let deadlines = self.classes.iter().map(|(_, class)| class.deadline);
        deadlines.max().unwrap_or_default()
    }

    /// The id of a tenant. A platform without tenants accepts any name, and none.
    pub fn tenant(&self, name: Option<&str>) -> Option<TenantId> {
        if self.tenants.is_empty() {
            return Some(TenantId(0));
        }
        let is_named = |known: &String| Some(known.as_str()) == name;
        let index = self.tenants.iter().position(is_named)?;
        Some(TenantId(index as u32))
    }
}
