/** What becomes of a connection that sends while too many bytes wait. */
export const ReadOutcome = {
  /** It is closed at once, as no requests are under way. */
  closed: "closed_waiting",
  /** Nothing more is read, and it is closed behind its responses. */
  stopped: "stopped_waiting",
} as const;

export type ReadOutcome = typeof ReadOutcome[keyof typeof ReadOutcome];
