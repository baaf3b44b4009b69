/** What this entry sees of a request that waits for its response. */
export type WaitObservation = {
  /**
   * Gives up the attempt if it can be sent again after others that were given
   * up at the same time; returns whether it did. Absent if it may run once only.
   */
  readonly tryCancel: ((alreadyCancelled: number) => boolean) | undefined;
  /** Bytes received of its response. */
  readonly bytesReceived: () => number;
  /** Bytes received from its upstream, also by other requests. */
  readonly upstreamBytes: () => number;
};
