import type { Milliseconds } from "@heroncleat/base";
import type { KnownEntry } from "./known_entry.ts";
import type { PossibleOrigins } from "./possible_origins.ts";
import type { StreamOrigins } from "./stream_origins.ts";

/** One process of an entry; a restart replaces it. @internal */
export type SimulatedEntry = {
  readonly known: KnownEntry;
  readonly origins: StreamOrigins;
  readonly possible: PossibleOrigins;
  /** Streams that began here and that nobody was told of. */
  readonly unshared: Set<string>;
  /** When each version was first heard of. */
  readonly versions: Map<string, Milliseconds>;
  syncedRevision: number;
  /** When the last reply of the replica arrived, and was requested. */
  syncedAt: Milliseconds;
  requestedAt: Milliseconds;
  /** Until when neither the replica nor other entries are reached. */
  cutUntil: Milliseconds;
  /** Until when all its messages get lost. */
  losesUntil: Milliseconds;
  /** Until when callers go to other entries. */
  avoidedUntil: Milliseconds;
  isRunning: boolean;
};
