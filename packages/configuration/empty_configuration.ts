import type { ConfigurationState } from "@heroncleat/schema";

/** Version of the stored state; see `migrate_configuration.ts`. */
const VERSION = 1;

/** Returns the configuration at revision 0, before any change. @public */
export function emptyConfiguration(): ConfigurationState {
  return {
    version: VERSION,
    revision: 0,
    groups: {},
    selectors: {},
    limits: {},
    labels: {},
    orders: [],
    nextOrder: 1,
    results: [],
    audit: [],
    history: [],
  };
}
