/** The end of a connection to another process. @public */
export type Disconnect = {
  /** host:port of the peer. */
  readonly address: string;
  readonly reason: string;
  /** Bytes that were queued for the peer and are lost. */
  readonly queuedBytes: number;
  /** Whether the peer ended it; false if this process did. */
  readonly byPeer: boolean;
};
