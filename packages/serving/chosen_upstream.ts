import type { Milliseconds } from "@heroncleat/base";
import type { KnownUpstream } from "./known_upstream.ts";

/** A chosen upstream, and the prompt tokens that it has to read. @public */
export type ChosenUpstream = {
  readonly upstream: KnownUpstream;
  readonly uncachedTokens: number;
  /** Tokens whose memory comes from `source` instead of being read. */
  readonly fetchedTokens: number;
  /** Time its engine needs to read the uncached tokens. */
  readonly readTime: Milliseconds;
  /** The same for the reference engine; see `readTime`. */
  readonly referenceTime: Milliseconds;
  /** Whether the engines' reading speed was measured, not assumed. */
  readonly isSpeedKnown: boolean;
  /** Whether nothing but reading and what waits there delays its answer. */
  readonly isClear: boolean;
  /** Time until it has read or fetched what comes before. */
  readonly waiting: Milliseconds;
  /** Time until its first token, as the choice estimates it. */
  readonly expected: Milliseconds;
  /** An upstream that holds parts which the chosen one lacks, if known. */
  readonly source: KnownUpstream | undefined;
};
