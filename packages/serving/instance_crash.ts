import type { Milliseconds } from "@heroncleat/base";

/** That a start of an upstream ended, whatever ran there. @internal */
export type InstanceCrash = {
  readonly service: string;
  readonly at: Milliseconds;
};
