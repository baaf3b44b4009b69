import type { CallerLimits } from "./caller_limits.ts";
import type { Route } from "./route.ts";
import type { Service } from "./service.ts";
import type { Workspace } from "./workspace.ts";

/**
 * The configuration document of request forwarding, replaced as a whole under a
 * monotonically increasing version.
 *
 * @public
 */
export type ServingDocument = {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Undefined if requests require no keys. */
  readonly workspaces: readonly Workspace[] | undefined;
  readonly limits: CallerLimits;
};
