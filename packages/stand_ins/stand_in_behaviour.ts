/** Faults that a test can switch on in a stand-in. @public */
export const StandInBehaviour = {
  normal: "normal",
  /** Responds with 503 and reports that the request was not run. */
  refuse: "refuse",
  /** Responds with 503 without reporting whether the request was run. */
  fail: "fail",
  /** Runs the request and breaks the connection before the complete response. */
  cut: "cut",
  /** Runs the request and never responds. */
  stall: "stall",
  /** Runs the request and responds after some time; services only. */
  slow: "slow",
  /** Sends an incomplete response; an engine ends it like a complete one. */
  truncate: "truncate",
} as const;
