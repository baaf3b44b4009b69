import type { Agent as HttpAgent } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import type { EntrySettings } from "@heroncleat/schema";
import type { SendPermits, UpstreamStatements } from "@heroncleat/serving";
import type { BodyMemory } from "../common/body_memory.ts";
import type { ControlClient } from "../common/control_client.ts";
import type { SuspectWatcher } from "../common/suspect_watcher.ts";
import type { StatementWatcher } from "../common/statement_watcher.ts";
import type { KeyRing } from "../common/key_ring.ts";
import type { ProcessContext } from "../common/process_context.ts";
import type { ConfigurationLease } from "./configuration_lease.ts";

/** Shared state and services of the entry role. */
export type EntryContext = ProcessContext & {
  readonly entry: EntrySettings;
  readonly name: string;
  readonly zone: string;
  readonly control: ControlClient;
  readonly lease: ConfigurationLease;
  readonly callers: KeyRing;
  /** Tracks requests that crashed upstreams. */
  readonly crashes: SuspectWatcher;
  /** Records what upstreams state in their responses. */
  readonly statementWatcher: StatementWatcher;
  /** What upstreams stated about themselves to this entry. */
  readonly statements: UpstreamStatements;
  /** Turns to send to upstreams that state a rate limit. */
  readonly permits: SendPermits;
  /** ID of an upstream's current instance, by the upstream's name. */
  readonly instanceIdOf: (upstream: string) => string;
  /** Whether an upstream announced its departure, by its name. */
  readonly isDepartingUpstream: (upstream: string) => boolean;
  /**
   * When the VM of an upstream is reclaimed, by the upstream's name, on the
   * `steady` clock; undefined if it isn't known.
   */
  readonly reclaimedAt: (upstream: string) => Milliseconds | undefined;
  /** Hashes a prompt block, seeded with the hash of the preceding blocks. */
  readonly chainHash: (text: string, seed: string) => string;
  /** Connection pool for calls to plain services. */
  readonly services: HttpAgent;
  /** Connection pool for generations. */
  readonly upstreams: HttpAgent;
  /** What bodies hold. */
  readonly bodies: BodyMemory;
};
