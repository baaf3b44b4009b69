import type { Milliseconds } from "@heroncleat/base";
import type { PromptPart } from "./prompt_part.ts";
import type { EngineProfile } from "./engine_profile.ts";
import type { KnownUpstream } from "./known_upstream.ts";

/** Fewer tokens are computed rather than fetched. */
const MIN_FETCHED_TOKENS = 1500;
/**
 * Time to fetch the KV cache of a token if the service configures no link
 * speed.
 */
const DEFAULT_FETCH_TIME_PER_TOKEN: Milliseconds = 0.011;
/** A fetch between availability zones takes twice as long. */
const CROSS_ZONE_FETCH_FACTOR = 2;
const BITS_PER_BYTE = 8;
const BITS_PER_MS_PER_MBPS = 1000;

/**
 * KV cache that an upstream would fetch from another one instead of computing
 * it.
 */
type KvFetchPlan = {
  readonly source: KnownUpstream | undefined;
  readonly fetchedTokens: number;
  readonly fetchTime: Milliseconds;
};

const NO_FETCH: KvFetchPlan = {
  source: undefined,
  fetchedTokens: 0,
  fetchTime: 0,
};

/**
 * Plans which KV cache of a prompt's shared parts an upstream fetches, from a
 * source in its own zone if there is one.
 *
 * @internal
 */
export function planKvFetch(
  upstream: KnownUpstream,
  options: {
    /** Upstreams that have cached the last shared part. */
    sources: readonly KnownUpstream[];
    /**
     * Parts of the prompt without the last one, which only this request has.
     */
    shared: readonly PromptPart[];
    /** Tokens of the shared parts that the upstream has cached. */
    cached: number;
    engine: EngineProfile | undefined;
  },
): KvFetchPlan {
  const { sources, shared, cached, engine } = options;
  if (sources.length === 0 || sources.includes(upstream)) {
    return NO_FETCH;
  }
  const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0);
  const fetchedTokens = sharedTokens - cached;
  if (fetchedTokens < MIN_FETCHED_TOKENS) {
    return NO_FETCH;
  }
  const sourceInZone = sources.find(({ record }) =>
    record.zone === upstream.record.zone
  );
  const zoneFactor = sourceInZone === undefined ? CROSS_ZONE_FETCH_FACTOR : 1;
  const fetchTime = fetchedTokens * fetchTimePerToken(engine) * zoneFactor;
  return { source: sourceInZone ?? sources[0], fetchedTokens, fetchTime };
}

/** Time to fetch the KV cache of one token within an availability zone. */
function fetchTimePerToken(engine: EngineProfile | undefined): Milliseconds {
  if (engine === undefined || engine.linkMbps <= 0) {
    return DEFAULT_FETCH_TIME_PER_TOKEN;
  }
  return engine.kvTokenBytes * BITS_PER_BYTE /
    (engine.linkMbps * BITS_PER_MS_PER_MBPS);
}
