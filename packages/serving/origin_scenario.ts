import type { Milliseconds } from "@heroncleat/base";

/** What a simulation of resumed streams plays. @internal */
export type OriginScenario = {
  readonly seed: number;
  readonly entryCount: number;
  readonly duration: Milliseconds;
  /** Whether versions start and end; else there is one. */
  readonly changesVersions: boolean;
  /** Whether single entries are killed and cut off. */
  readonly disturbsEntries: boolean;
  /** Share of the entries that are killed together from time to time. */
  readonly killedShare?: number;
  /** Whether all control replicas end and restart with them. */
  readonly endsReplicas?: boolean;
  /** Whether one control replica loses its disk at the same time. */
  readonly losesDisk?: boolean;
  /** Whether entries restart one after the other. */
  readonly restartsEntries?: boolean;
  /** Whether all entries of a zone are cut off from time to time. */
  readonly cutsZones?: boolean;
  /** Share of the messages that get lost. */
  readonly messageLoss?: number;
  /** Whether single entries lose all messages for a short time. */
  readonly hasLossBursts?: boolean;
  /** Attempts a second to resume streams that never began. */
  readonly inventedPerSecond?: number;
  /**
   * When a second version joins the one that was alone, as some entries have
   * just restarted. Streams are short, and begin from shortly before on.
   */
  readonly joinsAt?: Milliseconds;
  /** Longest time for which a control replica's reply is held up. */
  readonly maxReplyDelay?: Milliseconds;
  /** Streams that begin in a second. */
  readonly beginsPerSecond?: number;
};
