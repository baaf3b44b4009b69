import type { Milliseconds } from "@heroncleat/base";

/** Settings of one entry's membership. @public */
export type MembershipSettings = {
  readonly name: string;
  /** `host:port` for peers. */
  readonly address: string;
  /** `host:port` for callers. */
  readonly callerAddress: string;
  readonly zone: string;
  /** First incarnation; wall-clock time makes it increase with each restart. */
  readonly incarnation: number;
  /** Peer addresses to sync with until they are in the member table. */
  readonly seeds: readonly string[];
  readonly probeInterval: Milliseconds;
  readonly probeTimeout: Milliseconds;
  readonly suspectTimeout: Milliseconds;
  /** Lease of an upstream, renewed by each announcement. */
  readonly upstreamLease: Milliseconds;
  /** Members requested to probe one that didn't acknowledge a ping. */
  readonly indirectProbes: number;
  /** Piggybacked member records and upstream records, each, per message. */
  readonly maxGossipRecords: number;
  /** Interval between exchanges of the full state with a random member. */
  readonly syncInterval: Milliseconds;
  /** Time after which a dead member or a lapsed upstream is removed. */
  readonly retention: Milliseconds;
  /** Members that receive a departure or shutdown directly, without gossip. */
  readonly broadcastFanout: number;
};
