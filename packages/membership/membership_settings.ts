import type { Milliseconds } from "@heroncleat/base";

/** Settings of an entry's part in membership. @public */
export type MembershipSettings = {
  readonly name: string;
  /** host:port for peers. */
  readonly address: string;
  /** host:port for callers. */
  readonly callerAddress: string;
  readonly zone: string;
  /** First incarnation; wall-clock time keeps it growing over restarts. */
  readonly incarnation: number;
  /** Peer addresses that are asked until they are known as members. */
  readonly seeds: readonly string[];
  readonly probeInterval: Milliseconds;
  readonly probeTimeout: Milliseconds;
  readonly suspectTimeout: Milliseconds;
  /** How long an upstream's announcement stands. */
  readonly upstreamLease: Milliseconds;
  /** Members asked to probe a silent one. */
  readonly indirectProbes: number;
  /** Records of each kind that ride on one message. */
  readonly gossipRecords: number;
  /** Time between exchanges of the whole view with one member. */
  readonly syncInterval: Milliseconds;
  /** How long a dead member or a lapsed upstream is remembered. */
  readonly retention: Milliseconds;
  /** Members that urgent news is sent to directly. */
  readonly newsFanout: number;
};
