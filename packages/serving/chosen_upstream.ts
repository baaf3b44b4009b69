import type { Milliseconds } from "@heroncleat/base";
import type { KnownUpstream } from "./known_upstream.ts";

/** The upstream chosen for a request, with the estimates behind it. @public */
export type ChosenUpstream = {
  readonly upstream: KnownUpstream;
  /** Requests of this entry that are in flight there. */
  readonly ownRequests: number;
  /** Prompt tokens that the upstream has to prefill. */
  readonly uncachedTokens: number;
  /** Prompt tokens whose KV cache is fetched from `source` instead. */
  readonly fetchedTokens: number;
  /** Prefill time of the uncached tokens. */
  readonly readTime: Milliseconds;
  /** Prefill time of the uncached tokens on the reference engine. */
  readonly referencePrefillTime: Milliseconds;
  /**
   * Whether the prompt can be prefilled in the time that the request has left;
   * callers state its length.
   */
  readonly isLengthPlausible: boolean;
  /** Whether the prefill speed was measured, not assumed. */
  readonly isPrefillSpeedKnown: boolean;
  /** Whether prefill alone, its own and the queued, delays the first token. */
  readonly hasOnlyPrefillDelay: boolean;
  /**
   * Time until the prefill of this request begins: until a slot is free, and
   * queued prefill and the fetch are complete.
   */
  readonly waiting: Milliseconds;
  /** Estimated time to first token. */
  readonly expectedFirstTokenTime: Milliseconds;
  /** Upstream to fetch missing parts from; undefined without a fetch. */
  readonly source: KnownUpstream | undefined;
};
