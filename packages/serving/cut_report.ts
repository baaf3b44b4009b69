type Share = { served: number; sent: number };

/** How callers were served whose first attempt met an entry without links. */
export type CutReport = {
  /** In the first 3 s, and later. */
  readonly atFirst: Share;
  readonly later: Share;
  readonly elsewhere: Share;
  /** Requests that took a hop, and refusals that took over 50 ms later on. */
  relayed: number;
  slowRefusals: number;
};
