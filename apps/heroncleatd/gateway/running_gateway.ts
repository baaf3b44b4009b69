import type { Milliseconds } from "@heroncleat/base";
import type { KnownEntry } from "@heroncleat/serving";

/** A gateway that listens for callers. */
export type RunningGateway = {
  /** Lists the entries that accept callers. */
  readonly listEntries: () => readonly KnownEntry[];
  /** Whether the gateway accepts requests. */
  readonly isReady: () => boolean;
  /** Lists the attempts of callers that aren't responded to completely. */
  readonly listInFlight: () => readonly string[];
  /** Describes the configuration document in effect, for logs. */
  readonly describeChange: () => {
    readonly appliedVersion: number;
    readonly changeAge: number;
  };
  /**
   * Shuts down gracefully; resolves when the process may exit. The grace period
   * counts from the monotonic time at which the process was told to; from now
   * by default.
   */
  readonly stop: (signalledAt?: Milliseconds) => Promise<void>;
  /**
   * Accepts no more requests and completes those in flight, for the grace period
   * at most; resolves when the process may exit.
   */
  readonly stopAfterFailure: () => Promise<void>;
};
