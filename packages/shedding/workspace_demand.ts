import { DemandWindow } from "./demand_window.ts";
import { ReturnLane } from "./return_lane.ts";
import { ShareCounter } from "./share_counter.ts";

/** What an entry knows of one workspace at one rank of a service. @internal */
export class WorkspaceDemand {
  readonly window = new DemandWindow();
  readonly counter = new ShareCounter();
  /** Return times of requests within the share and beyond it. */
  readonly returns = { within: new ReturnLane(), beyond: new ReturnLane() };
}
