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
    this.#preferred = part === undefined ? [] : findLowestTwo(part, upstreams);
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

/**
 * IDs of the two upstreams with the lowest hashes, the lowest one first. The
 * name survives a restart of an upstream, so its rank stays the same.
 */
function findLowestTwo(
  part: string,
  upstreams: readonly KnownUpstream[],
): string[] {
  const prefix = hashToUnit.prefix(part);
  let first: { id: string; rank: number } | undefined;
  let second: { id: string; rank: number } | undefined;
  for (const { record: { id, name } } of upstreams) {
    const rank = hashToUnit.finish(prefix, name);
    if (first === undefined || rank < first.rank) {
      second = first;
      first = { id, rank };
    } else if (second === undefined || rank < second.rank) {
      second = { id, rank };
    }
  }
  return [first, second].flatMap((each) => each === undefined ? [] : [each.id]);
}
