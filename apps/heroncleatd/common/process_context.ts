import type { Clock } from "@heroncleat/base";
import type { Settings } from "@heroncleat/schema";
import type { MethodHandler, PeerPool } from "@heroncleat/transport";
import type { Ref } from "nact";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";

/** Dependencies shared by all parts of a process. */
export type ProcessContext = {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly pool: PeerPool;
  readonly sharedSecret: string;
  /** Parent of all actors. */
  readonly system: Ref<never>;
  readonly log: (part: string) => Log;
  /** Registers RPC methods for the system's own processes. */
  readonly serve: (methods: Readonly<Record<string, MethodHandler>>) => void;
  /** Stops the process after an unrecoverable error. */
  readonly fail: (error: unknown) => void;
};
