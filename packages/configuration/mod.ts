/**
 * The replicated configuration: labels, groups, selectors, limits, orders and
 * the audit trail.
 *
 * @module
 */
export { Configuration } from "./configuration.ts";
export { ConfigurationFollower } from "./configuration_follower.ts";
export { emptyConfiguration } from "./empty_configuration.ts";
export { migrateConfiguration } from "./migrate_configuration.ts";
