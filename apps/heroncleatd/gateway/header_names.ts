/**
 * Names of the headers that entries, callers and upstreams exchange, in lower
 * case. Each deployment provides its own.
 */
export type HeaderNames = {
  /** Identifies one attempt of a caller; upstreams echo it. */
  readonly attempt: string;
  /** Milliseconds until the sender times out. */
  readonly timeLeft: string;
  /** The caller's API key; never forwarded. */
  readonly key: string;
  /** Workspace that the key belongs to; sent to upstreams only. */
  readonly workspace: string;
  /** Name of the only upstream that may run the request. */
  readonly expectedUpstream: string;
  /** Proof that a response originates from the upstream. */
  readonly digest: string;
  /** Present if the upstream did not run the request. */
  readonly notRun: string;
  /**
   * Requests per second, a decimal number, that the upstream accepts from all
   * entries together.
   */
  readonly rateLimit: string;
  /**
   * Requests per second, a decimal number, that the upstream can reject for want
   * of room before it fails.
   */
  readonly rejectionLimit: string;
  /** Its value is `1` in the responses of an upstream that leaves. */
  readonly leaving: string;
  /** Priority for the engine's scheduler, from 0 (highest) to 9. */
  readonly priority: string;
  /** host:port of an upstream to fetch cached prompt parts from. */
  readonly fetchFrom: string;
  /** Identifier of the last event that the receiver of a stream has. */
  readonly lastEvent: string;
  /**
   * The attempt that brought the first event of the stream that this request
   * resumes.
   */
  readonly resumes: string;
  /**
   * Headers that only the system may send to upstreams, such as those that
   * reserve memory for a request or copy it elsewhere. They are removed from
   * callers' requests.
   */
  readonly reserved: readonly string[];
};
