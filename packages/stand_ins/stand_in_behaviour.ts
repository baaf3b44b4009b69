/** Faults that a test can switch on in a stand-in. @public */
export const StandInBehaviour = {
  normal: "normal",
  /** Answers 503 and says that it was not run. */
  refuse: "refuse",
  /** Answers 503 without saying whether it was run. */
  fail: "fail",
  /** Runs the request and cuts the connection before the answer. */
  cut: "cut",
  /** Runs the request and never answers. */
  stall: "stall",
  /** Sends a part of the answer and ends it as if it were whole. */
  truncate: "truncate",
} as const;
