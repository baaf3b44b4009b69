/** A log line of an entry about one resumed stream. */
export type ResumptionLine = {
  /** The attempt that it names as the stream's beginning. */
  readonly resumes: string;
  readonly source: string;
  readonly reason: string;
  readonly status: number;
  readonly unanswered: number;
  readonly attempts: string;
};
