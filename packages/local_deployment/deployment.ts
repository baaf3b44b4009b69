import type { DeployedControl } from "./deployed_control.ts";
import type { DeployedEntry } from "./deployed_entry.ts";
import type { DeployedUpstream } from "./deployed_upstream.ts";

/** Addresses, names and files of a deployment on one machine. @public */
export type Deployment = {
  readonly folder: string;
  readonly controls: readonly DeployedControl[];
  readonly entries: readonly DeployedEntry[];
  readonly upstreams: readonly DeployedUpstream[];
  /** Caller keys by workspace. */
  readonly callerKeys: Readonly<Record<string, string>>;
  readonly operatorToken: string;
  readonly tokenFile: string;
  readonly sharedSecret: string;
};
