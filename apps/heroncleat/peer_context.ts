/** Inputs of a command that calls control replicas over the peer protocol. */
export type PeerContext = {
  readonly args: readonly string[];
  /** Peer addresses (`host:port`) of control replicas, separated by commas. */
  readonly peers: string | undefined;
  /** File with the shared secret of the processes, if they use one. */
  readonly secretFile: string | undefined;
  readonly json: boolean;
  readonly print: (text: string) => void;
};
