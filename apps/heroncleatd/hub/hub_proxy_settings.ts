/** Settings of the control role on a VM without a disk. */
export type HubProxySettings = {
  readonly zone: string;
  /** host:port for the system's own processes. */
  readonly peerAddress: string;
  /** Peer addresses of processes of the control role that may be up. */
  readonly seeds: readonly string[];
};
