import type { Clock } from "@heroncleat/base";
import type { Settings } from "@heroncleat/schema";
import type { MethodHandler, PeerPool } from "@heroncleat/transport";
import type { Ref } from "nact";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";

/** What all parts of a process share. */
export type ProcessContext = {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly pool: PeerPool;
  readonly sharedSecret: string;
  /** Parent of all actors. */
  readonly system: Ref<never>;
  readonly log: (part: string) => Log;
  /** Serves methods to the system's own processes. */
  readonly serve: (methods: Readonly<Record<string, MethodHandler>>) => void;
  /** Ends the process because it can't go on. */
  readonly fail: (error: unknown) => void;
};
