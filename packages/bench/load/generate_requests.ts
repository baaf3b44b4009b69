import {
  createSeededRandom,
  type Milliseconds,
  type Random,
} from "@heroncleat/base";
import { COUNTED_PERIOD } from "./counted_period.ts";
import type { Load } from "./load.ts";
import type { OfferedRequest } from "./offered_request.ts";
import type { RequestKind } from "./request_kind.ts";
import { WORKSPACE_SHARES } from "./workspace_shares.ts";

/** Maximum numbers of kinds and workspaces, for seeds of their own. */
const KIND_SEEDS = 10;
const WORKSPACE_SEEDS = 100;
const DROPPED_NUMBERS = 8;
const SECOND: Milliseconds = 1000;
/** Time after the counted period in which requests still arrive. */
const LATER_ARRIVALS: Milliseconds = 2000;
/** Share of the arrivals that are bursts of one workspace, and their size. */
const BURST_SHARE = 0.1;
const MAX_BURST = 8;
const MEAN_ARRIVAL = 1 - BURST_SHARE + BURST_SHARE * (2 + MAX_BURST) / 2;
/** Time within which the requests of a burst arrive. */
const BURST_DURATION: Milliseconds = 30;
/** Shared parts of each workspace and kind. Some are used more than others. */
const SHARED_PARTS = 12;
const SHARED_PART_SKEW = 1.5;
/** Standard deviation of the logarithm of the own part's size. */
const SIZE_SPREAD = 0.7;
const MAX_PROMPT_TOKENS = 54_600;
const MIN_OWN_TOKENS = 50;

/**
 * Requests of a load in the order of their arrival. The same seed yields the
 * same requests, whatever decides about them.
 */
export function generateRequests(load: Load, seed: number): OfferedRequest[] {
  const requests: OfferedRequest[] = [];
  for (const [kindIndex, kind] of load.kinds.entries()) {
    for (const [workspace, share] of WORKSPACE_SHARES.entries()) {
      // A surge of one workspace leaves the requests of the others the same.
      const random = createStream(
        (seed * KIND_SEEDS + kindIndex) * WORKSPACE_SEEDS + workspace,
      );
      const usual = kind.perSecond * share;
      const counted = usual * (load.rates[kind.name] ?? 1) *
        (workspace === 0 ? load.surge : 1);
      const arrivals = [
        ...drawArrivals(usual, { from: 0, to: COUNTED_PERIOD.from }, random),
        ...drawArrivals(counted, COUNTED_PERIOD, random),
        ...drawArrivals(usual, {
          from: COUNTED_PERIOD.to,
          to: COUNTED_PERIOD.to + LATER_ARRIVALS,
        }, random),
      ];
      for (const arrivedAt of arrivals) {
        requests.push(drawRequest(kind, {
          id: requests.length,
          workspace,
          arrivedAt,
          random,
        }));
      }
    }
  }
  return requests.sort((left, right) => left.arrivedAt - right.arrivedAt);
}

/** The first numbers of neighbouring seeds are alike, so they are dropped. */
function createStream(seed: number): Random {
  const random = createSeededRandom(seed);
  for (let index = 0; index < DROPPED_NUMBERS; index += 1) {
    random();
  }
  return random;
}

/** Arrivals of a Poisson process, some of which are bursts. */
function drawArrivals(
  perSecond: number,
  period: { from: Milliseconds; to: Milliseconds },
  random: Random,
): Milliseconds[] {
  const arrivals: Milliseconds[] = [];
  const meanInterval = SECOND * MEAN_ARRIVAL / perSecond;
  let at = period.from;
  while (true) {
    at -= Math.log(1 - random()) * meanInterval;
    if (at >= period.to) {
      return arrivals;
    }
    const size = random() < BURST_SHARE
      ? 2 + Math.floor(random() * (MAX_BURST - 1))
      : 1;
    for (let index = 0; index < size; index += 1) {
      arrivals.push(index === 0 ? at : at + random() * BURST_DURATION);
    }
  }
}

function drawRequest(
  kind: RequestKind,
  options: {
    id: number;
    workspace: number;
    arrivedAt: Milliseconds;
    random: Random;
  },
): OfferedRequest {
  const { id, workspace, arrivedAt, random } = options;
  const variant = Math.floor(random() ** SHARED_PART_SKEW * SHARED_PARTS);
  // Sizes of shared parts are even around the mean and depend on the part.
  const sharedTokens = Math.round(
    kind.sharedTokens * (0.5 + (variant + 0.5) / SHARED_PARTS),
  );
  const spread = Math.exp(SIZE_SPREAD * drawNormal(random)) /
    Math.exp(SIZE_SPREAD ** 2 / 2);
  const ownTokens = Math.round(
    Math.min(
      MAX_PROMPT_TOKENS - sharedTokens,
      Math.max(MIN_OWN_TOKENS, kind.ownTokens * spread),
    ),
  );
  return {
    id,
    kind,
    workspace,
    arrivedAt,
    attemptedAt: arrivedAt,
    parts: [
      { id: `${kind.name}-${workspace}-${variant}`, tokens: sharedTokens },
      { id: `own-${id}`, tokens: ownTokens },
    ],
    promptTokens: sharedTokens + ownTokens,
    events: Math.max(1, Math.round(kind.events * (0.5 + random()))),
  };
}

/** A number from the standard normal distribution (Box-Muller). */
function drawNormal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
}
