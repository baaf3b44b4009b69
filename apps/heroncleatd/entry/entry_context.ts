import type { EntrySettings } from "@heroncleat/schema";
import type { Agent } from "undici";
import type { ControlClient } from "../common/control_client.ts";
import type { CrashWatch } from "../common/crash_watch.ts";
import type { KeyRing } from "../common/key_ring.ts";
import type { ProcessContext } from "../common/process_context.ts";
import type { ConfigurationLease } from "./configuration_lease.ts";

/** What all parts of the entry role share. */
export type EntryContext = ProcessContext & {
  readonly entry: EntrySettings;
  readonly name: string;
  readonly zone: string;
  readonly control: ControlClient;
  readonly lease: ConfigurationLease;
  readonly callers: KeyRing;
  /** Requests under which upstreams ended. */
  readonly crashes: CrashWatch;
  /** The identity of the present start of an upstream, by its name. */
  readonly instanceIdOf: (upstream: string) => string;
  /** Whether an upstream has said that it leaves, by its name. */
  readonly isDepartingUpstream: (upstream: string) => boolean;
  /** Hashes a block of a prompt behind the blocks before it. */
  readonly chainHash: (text: string, seed: string) => string;
  /** Connections to upstreams; it never retries by itself. */
  readonly upstreams: Agent;
};
