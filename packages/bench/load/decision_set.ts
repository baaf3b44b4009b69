import type { Milliseconds, Random } from "@heroncleat/base";
import type { KnownUpstream } from "@heroncleat/serving";
import type { EntryDecisions } from "./entry_decisions.ts";
import type { Load } from "./load.ts";
import type { LoadEngine } from "./load_engine.ts";
import type { OfferedRequest } from "./offered_request.ts";

/** What a set of decisions may use of a play. */
export type DecisionContext = {
  readonly load: Load;
  readonly random: Random;
  /** Engines that are up, as entries know them. */
  readonly upstreams: () => readonly KnownUpstream[];
  /** Runs an action after a delay, such as the transfer of a datagram. */
  readonly schedule: (action: () => void, delay: Milliseconds) => void;
  /** True state and requests to come; only for the ceiling. */
  readonly engines: () => readonly LoadEngine[];
  readonly requests: readonly OfferedRequest[];
};

/** Decisions that are compared with others. */
export type DecisionSet = {
  readonly name: string;
  /** Creates one instance for each entry of the load. */
  readonly createEntries: (context: DecisionContext) => EntryDecisions[];
};
