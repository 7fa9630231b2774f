//! SIGHUP: the configuration is read anew.

use super::{signals, Node};
use crate::context::Context;
use marbledeck_dispatcher::Micros;

impl Node {
    /// Takes over the limits and the address of discovery. A faulty configuration changes nothing, and nothing that is
    /// open is touched.
    pub(super) fn reload(&mut self, now: Micros) {
        signals::drain(&mut self.signals.reload);
        let config = match (self.read_config)() {
            Ok(config) => config,
            Err(e) => {
                log::error!("reload: {e}; all stays as it was");
                return;
            }
        };
        if config.platform_settings != self.platform_settings {
            log::warn!("reload: other settings count from the next start");
        }
        self.limits.replace(config.limits);
        self.share_limits(now);
        let named = config.discovery_in_file;
        if let Some(address) = named.filter(|_| named != self.discovery_in_file) {
            self.discovery_in_file = named;
            let Context { net, discovery, .. } = &mut self.context;
            discovery.move_to(now, address, net);
        }
        log::info!("reload: done");
    }
}
