/** A request that is being sent or responded to. */
export type SentRequest = {
  /** Gives it up; reading the response, if it has begun, fails. */
  readonly abort: () => void;
  /** Bytes received since it was sent. */
  readonly bytesReceived: () => number;
  /** Whether the response isn't read now, as its reader is slow. */
  readonly isPaused: () => boolean;
};
