import type { Milliseconds } from "@heroncleat/base";

/** An operator's order to move a service to a version. @public */
export type RolloutOrder = {
  readonly service: string;
  readonly destination: string;
  readonly duration: Milliseconds;
};
