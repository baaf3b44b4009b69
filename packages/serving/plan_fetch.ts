import type { Milliseconds } from "@heroncleat/base";
import type { PromptPart } from "./prompt_part.ts";
import type { EngineProfile } from "./engine_profile.ts";
import type { KnownUpstream } from "./known_upstream.ts";

/** Fewer tokens than this are read again rather than fetched. */
const LEAST_FETCH = 1500;
/** Time to fetch a token's memory, where the service names no link. */
const FETCH_COST: Milliseconds = 0.011;
/** Memory moves at half the speed between availability zones. */
const FAR_FETCH_FACTOR = 2;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT_MS = 1000;

/** What an upstream would get from another one instead of reading it. */
type FetchPlan = {
  readonly source: KnownUpstream | undefined;
  readonly fetchedTokens: number;
  readonly fetchTime: Milliseconds;
};

const NOTHING: FetchPlan = {
  source: undefined,
  fetchedTokens: 0,
  fetchTime: 0,
};

/**
 * Plans what an upstream fetches of a prompt's shared parts, from the nearest
 * upstream that has read them all.
 *
 * @internal
 */
export function planFetch(
  upstream: KnownUpstream,
  options: {
    /** Upstreams that have the deepest shared part. */
    sources: readonly KnownUpstream[];
    /** Parts of the prompt but the last one, which is the request's own. */
    shared: readonly PromptPart[];
    /** Tokens of them that the upstream has. */
    cached: number;
    engine: EngineProfile | undefined;
  },
): FetchPlan {
  const { sources, shared, cached, engine } = options;
  if (sources.length === 0 || sources.includes(upstream)) {
    return NOTHING;
  }
  const total = shared.reduce((sum, { tokens }) => sum + tokens, 0);
  const fetchedTokens = total - cached;
  if (fetchedTokens < LEAST_FETCH) {
    return NOTHING;
  }
  const near = sources.find(({ record }) =>
    record.zone === upstream.record.zone
  );
  const factor = near === undefined ? FAR_FETCH_FACTOR : 1;
  const fetchTime = fetchedTokens * fetchCost(engine) * factor;
  return { source: near ?? sources[0], fetchedTokens, fetchTime };
}

/** Time to fetch one token's memory within an availability zone. */
function fetchCost(engine: EngineProfile | undefined): Milliseconds {
  if (engine === undefined || engine.linkMbps <= 0) {
    return FETCH_COST;
  }
  return engine.kvTokenBytes * BITS_PER_BYTE /
    (engine.linkMbps * BITS_PER_MEGABIT_MS);
}
