//! The configuration of a Eureka registry as a source of workers.

use crate::config_error::{ConfigError, ConfigProblem};
use crate::config_file::{check_ranges, parse_address, seconds, RangeCheck};
use marbledeck_dispatcher::Micros;
use marbledeck_eureka::{MetadataKeys, ResponseFormat};
use serde::Deserialize;
use std::net::SocketAddr;

/// The table `[eureka]` of the operator file, before its values are checked.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct EurekaSection {
    urls: Vec<String>,
    #[serde(default)]
    apps: Vec<String>,
    #[serde(default)]
    vip: Option<String>,
    #[serde(default = "default_poll_s")]
    poll_s: usize,
    #[serde(default = "default_timeout_s")]
    timeout_s: usize,
    #[serde(default = "default_full_s")]
    full_s: usize,
    #[serde(default = "default_deltas")]
    deltas: bool,
    #[serde(default = "default_form")]
    form: String,
    #[serde(default)]
    secure: bool,
    #[serde(default)]
    id_key: Option<String>,
    #[serde(default)]
    zone_key: Option<String>,
    #[serde(default)]
    kind_key: Option<String>,
    #[serde(default)]
    rack_key: Option<String>,
    #[serde(default)]
    register: Option<RegistrationSection>,
}

/// The table `[eureka.register]`, before its values are checked.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RegistrationSection {
    app: String,
    id: String,
    address: String,
    #[serde(default = "default_renew_s")]
    renew_s: usize,
}

fn default_poll_s() -> usize {
    10
}

fn default_timeout_s() -> usize {
    5
}

fn default_full_s() -> usize {
    60
}

fn default_deltas() -> bool {
    true
}

fn default_form() -> String {
    "json".to_owned()
}

fn default_renew_s() -> usize {
    30
}

/// The URL of a replica of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryUrl {
    /// The IP address and port.
    pub addr: SocketAddr,
    /// The base path of the service, without a trailing slash.
    pub path: String,
}

impl RegistryUrl {
    fn parse(url: &str) -> Result<Self, ConfigProblem> {
        let invalid = |wanted: &'static str| ConfigProblem::RegistryUrl {
            url: url.to_owned(),
            wanted,
        };
        let rest = url
            .strip_prefix("http://")
            .ok_or_else(|| invalid("must have the form http://ADDRESS:PORT/PATH"))?;
        let (addr, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let addr = addr.parse().map_err(|_| {
            invalid("must have an IP address with a port; host names are not resolved")
        })?;
        if !path.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(invalid(
                "must have a path of printable ASCII characters without spaces",
            ));
        }
        Ok(RegistryUrl {
            addr,
            path: path.trim_end_matches('/').to_owned(),
        })
    }
}

/// A Eureka registry as a source of workers.
#[derive(Clone, Debug)]
pub struct EurekaConfig {
    /// The replicas of the registry, in the order in which they are tried.
    pub urls: Vec<RegistryUrl>,
    /// The applications whose instances are workers; empty for all.
    pub apps: Vec<String>,
    /// The virtual address (VIP) whose instances are workers; none for those of `apps`.
    pub vip: Option<String>,
    /// The longest interval between two polls; the shortest is half of it.
    pub poll_interval: Micros,
    /// The time limit of a request.
    pub timeout: Micros,
    /// The minimum interval between full fetches after a hash code mismatch.
    pub min_full_fetch_interval: Micros,
    /// Whether deltas are fetched between full lists.
    pub deltas: bool,
    /// The format of the responses to request.
    pub format: ResponseFormat,
    /// The metadata keys of a worker's attributes.
    pub keys: MetadataKeys,
    /// The registration of the node itself; none if it does not register.
    pub registration: Option<Registration>,
}

/// The registration of the node itself.
#[derive(Clone, Debug)]
pub struct Registration {
    /// The name of the application.
    pub app: String,
    /// The id of the instance.
    pub id: String,
    /// The address at which clients reach the node.
    pub addr: SocketAddr,
    /// The interval between renewals of the lease.
    pub renewal_interval: Micros,
}

impl EurekaSection {
    /// Checks the values. `source` names the file and the table in errors.
    ///
    /// # Errors
    /// A value is invalid; the error names the first such key.
    pub(crate) fn check(self, source: &str) -> Result<EurekaConfig, ConfigError> {
        let checks = [
            RangeCheck::new("poll_s", self.poll_s, 1, 3600),
            RangeCheck::new("timeout_s", self.timeout_s, 1, 600),
            RangeCheck::new("full_s", self.full_s, 1, 86_400),
        ];
        check_ranges(source, &checks)?;
        let urls = parse_urls(source, &self.urls)?;
        if self.vip.as_ref().is_some_and(|vip| !is_plain_word(vip)) {
            return Err(ConfigError::new(
                format!("{source}: vip"),
                "must be one or more printable ASCII characters without spaces",
            ));
        }
        let format = parse_format(source, &self.form)?;
        let registration = self.register.map(|section| section.check(source));
        Ok(EurekaConfig {
            registration: registration.transpose()?,
            urls,
            apps: self.apps,
            vip: self.vip,
            poll_interval: seconds(self.poll_s),
            timeout: seconds(self.timeout_s),
            min_full_fetch_interval: seconds(self.full_s),
            deltas: self.deltas,
            format,
            keys: MetadataKeys {
                id: self.id_key,
                zone: self.zone_key,
                kind: self.kind_key,
                rack: self.rack_key,
                secure: self.secure,
            },
        })
    }
}

impl RegistrationSection {
    fn check(self, source: &str) -> Result<Registration, ConfigError> {
        let source = format!("{source}: register");
        check_ranges(
            &source,
            &[RangeCheck::new("renew_s", self.renew_s, 1, 3600)],
        )?;
        for (key, value) in [("app", &self.app), ("id", &self.id)] {
            if !is_plain_word(value) || value.contains(['/', '?', '#', '%']) {
                return Err(ConfigError::new(
                    format!("{source}: {key}"),
                    "must be one or more printable ASCII characters except space, /, ?, # and %",
                ));
            }
        }
        Ok(Registration {
            addr: parse_address(format!("{source}: address"), &self.address)?,
            app: self.app,
            id: self.id,
            renewal_interval: seconds(self.renew_s),
        })
    }
}

/// Parses the URLs of the replicas, which must all have the same path.
fn parse_urls(source: &str, urls: &[String]) -> Result<Vec<RegistryUrl>, ConfigError> {
    let mut parsed: Vec<RegistryUrl> = Vec::new();
    for (position, url) in urls.iter().enumerate() {
        let url = RegistryUrl::parse(url)
            .map_err(|problem| ConfigError::new(format!("{source}: urls[{position}]"), problem))?;
        parsed.push(url);
    }
    let key = format!("{source}: urls");
    if parsed.is_empty() {
        return Err(ConfigError::new(key, "must have at least one entry"));
    }
    if parsed.iter().any(|url| url.path != parsed[0].path) {
        return Err(ConfigError::new(key, "must all have the same path"));
    }
    Ok(parsed)
}

fn parse_format(source: &str, format: &str) -> Result<ResponseFormat, ConfigError> {
    match format {
        "json" => Ok(ResponseFormat::Json),
        "xml" => Ok(ResponseFormat::Xml),
        _ => Err(ConfigError::new(
            format!("{source}: form"),
            "must be json or xml",
        )),
    }
}

/// Whether the text can be a segment of a URL: printable ASCII without blanks.
fn is_plain_word(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic())
}
