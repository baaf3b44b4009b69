import type { EndedBy } from "./ended_by.ts";

/** A request in progress on a connection to an upstream. */
export type UpstreamRun = {
  /** Records what ends it early, before its connection is closed. */
  readonly recordEndedBy: (reason: EndedBy) => void;
};
