import type { EndedBy } from "../responses/ended_by.ts";

/** A request in progress on a connection to an upstream. */
export type UpstreamRun = {
  /** Records what ends it early, before its connection is closed. */
  readonly recordEndedBy: (reason: EndedBy) => void;
  /** Bytes received since it was sent. */
  readonly bytesReceived: () => number;
  /** Whether the response isn't read now, as the caller is slow. */
  readonly isPaused: () => boolean;
  /** Whether another upstream could repeat the request or go on with it. */
  readonly isReplaceable: () => boolean;
  /** Closes the connection, so that another upstream is tried. */
  readonly giveUp: () => void;
};
