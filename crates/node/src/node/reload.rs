//! SIGHUP: reloads the configuration.

use super::{signals, Node};
use crate::context::Context;
use marbledeck_dispatcher::Micros;

impl Node {
    /// Applies the limits and the discovery address of the configuration file; other settings need a restart. An
    /// invalid configuration changes nothing, and open connections and requests are not affected.
    pub(super) fn reload(&mut self, now: Micros) {
        signals::drain(&mut self.signals.reload);
        let config = match (self.read_config)() {
            Ok(config) => config,
            Err(error) => {
                log::error!("reload: {error}; keeping the current configuration");
                return;
            }
        };
        if config.platform_settings != self.platform_settings {
            log::warn!(
                "reload: the platform settings have changed; they take effect at the next start"
            );
        }
        self.limits.replace(config.limits);
        self.share_limits(now);
        let in_file = config.discovery_in_file;
        if let Some(address) = in_file.filter(|_| in_file != self.discovery_in_file) {
            self.discovery_in_file = in_file;
            let Context { net, discovery, .. } = &mut self.context;
            discovery.move_to(now, address, net);
        }
        log::info!("reload: done");
    }
}
