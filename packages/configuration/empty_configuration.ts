import type { ConfigurationState } from "@heroncleat/schema";

/** Version of the persisted form; see `migrate_configuration.ts`. */
const VERSION = 1;

/** The configuration of a deployment that nobody has changed yet. @public */
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
