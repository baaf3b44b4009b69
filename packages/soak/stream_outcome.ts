import type { Milliseconds } from "@heroncleat/base";

/** One attempt to resume a stream at another entry. */
type ResumeOutcome = {
  /** Address of the entry, and when the request was sent. */
  readonly entry: string;
  readonly sentAt: Milliseconds;
  /** Version that began the stream. */
  readonly version: string;
  /** Whether it brought further events, or the end of the stream. */
  readonly wentOn: boolean;
};

/** What a caller received over all tries of a stream. */
export type StreamOutcome = {
  readonly path: string;
  readonly resumes: readonly ResumeOutcome[];
  /** Versions that wrote its events. */
  readonly versions: ReadonlySet<string>;
  /** Why the events of all tries don't make up the stream; undefined if they do. */
  readonly problem: string | undefined;
};
