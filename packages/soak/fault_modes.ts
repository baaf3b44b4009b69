import type { Milliseconds } from "@heroncleat/base";
import type { FaultMode } from "./fault_mode.ts";
import { injectAllFaults } from "./inject_all_faults.ts";
import { injectPlannedStops } from "./inject_planned_stops.ts";

type RunTimes = {
  /** Mean of the exponential tail of long runs. */
  readonly tail: Milliseconds;
  /** Factor on durations of runs that begin while an entry stops. */
  readonly slowFactor: number;
};

/** Fault modes of soaks by name. @public */
export const faultModes = {
  "all": (runTimes: RunTimes): FaultMode => ({
    inject: injectAllFaults,
    recoveryTime: 8000,
    machinesPerZone: 3,
    workload: {
      requestTimeout: 3000,
      maxTries: 1,
      areCallersSticky: false,
      closedShare: 0.3,
      brokenShare: 0.03,
      lateShare: 0.1,
      longShare: 0.1,
      tailShare: 0.5,
      ...runTimes,
    },
  }),
  "planned-stops": (runTimes: RunTimes): FaultMode => ({
    inject: injectPlannedStops,
    recoveryTime: 3000,
    machinesPerZone: 5,
    workload: {
      // Longer than the grace period, so that deadlines bound no run in it.
      requestTimeout: 8000,
      maxTries: 4,
      areCallersSticky: true,
      closedShare: 0,
      brokenShare: 0,
      lateShare: 0,
      longShare: 0.25,
      tailShare: 1,
      ...runTimes,
    },
  }),
};
