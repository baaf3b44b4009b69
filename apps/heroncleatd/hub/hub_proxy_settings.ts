/** Settings of the control role on a VM without a disk. */
export type HubProxySettings = {
  readonly zone: string;
  /** host:port for calls from the system's own processes. */
  readonly peerAddress: string;
  /** Peer addresses of control processes; not all need to be running. */
  readonly seeds: readonly string[];
};
