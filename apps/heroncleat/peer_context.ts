/** What commands that ask control replicas as a peer work with. */
export type PeerContext = {
  readonly words: readonly string[];
  /** host:port of control replicas for other processes, by commas. */
  readonly peers: string | undefined;
  /** File with the secret of the processes; none where they share none. */
  readonly secretFile: string | undefined;
  readonly json: boolean;
  readonly print: (text: string) => void;
};
