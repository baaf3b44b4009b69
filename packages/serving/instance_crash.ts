import type { Milliseconds } from "@heroncleat/base";

/** A crash of an upstream instance, whatever it was running. @internal */
export type InstanceCrash = {
  readonly service: string;
  readonly at: Milliseconds;
};
