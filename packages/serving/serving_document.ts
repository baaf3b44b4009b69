import type { CallerLimits } from "./caller_limits.ts";
import type { Route } from "./route.ts";
import type { Service } from "./service.ts";
import type { Workspace } from "./workspace.ts";

/**
 * The whole configuration of request forwarding, replaced as one under a
 * version that only rises.
 *
 * @public
 */
export type ServingDocument = {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Absent when requests need no keys. */
  readonly workspaces: readonly Workspace[] | undefined;
  readonly limits: CallerLimits;
};
