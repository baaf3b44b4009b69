import type { Milliseconds } from "@heroncleat/base";
import { hashToUnit } from "./hash_to_unit.ts";
import type { KnownUpstream } from "./known_upstream.ts";

/** Cost of the second preferred upstream over the first. */
const SECOND_CHOICE_COST: Milliseconds = 15;
/** Cost of any other upstream over the first preferred one. */
const NON_PREFERRED_COST: Milliseconds = 40;

/**
 * The two upstreams on which a prompt part should be cached. Rendezvous hashing
 * makes all entries agree on them without coordination.
 *
 * @internal
 */
export class PreferredUpstreams {
  readonly #preferred: readonly string[];

  constructor(part: string | undefined, upstreams: readonly KnownUpstream[]) {
    this.#preferred = part === undefined
      ? []
      : rankUpstreams(part, upstreams).slice(0, 2);
  }

  /**
   * Cost of sending the part to an upstream instead of the first preferred one.
   */
  placementCost(upstream: string): Milliseconds {
    if (this.#preferred.length === 0 || upstream === this.#preferred[0]) {
      return 0;
    }
    return upstream === this.#preferred[1]
      ? SECOND_CHOICE_COST
      : NON_PREFERRED_COST;
  }
}

function rankUpstreams(
  part: string,
  upstreams: readonly KnownUpstream[],
): string[] {
  const ranked = upstreams.map(({ record }) => ({
    id: record.id,
    // The name survives a restart of the upstream, so its rank stays the same.
    rank: hashToUnit(part, record.name),
  }));
  ranked.sort((left, right) => left.rank - right.rank);
  return ranked.map(({ id }) => id);
}
