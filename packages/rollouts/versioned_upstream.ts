import type { Milliseconds } from "@heroncleat/base";

/** The properties of an upstream that its version decides on. @public */
export type VersionedUpstream = {
  readonly record: {
    readonly id: string;
    readonly service: string;
    readonly state: string;
    /** Version of its software; absent if it isn't reported. */
    readonly version?: string | undefined;
    /** Time after the heartbeat during which it is slow. */
    readonly coldFor?: Milliseconds | undefined;
  };
  readonly receivedAt: Milliseconds;
};
