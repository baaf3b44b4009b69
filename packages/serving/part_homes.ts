import type { Milliseconds } from "@heroncleat/base";
import type { KnownUpstream } from "./known_upstream.ts";

/** Cost of any upstream but the first home of a part. */
const SECOND_COST: Milliseconds = 15;
/** Cost of an upstream that is no home of a part. */
const OTHER_COST: Milliseconds = 40;

/**
 * The two upstreams that all entries agree to keep a part at, without a
 * message, by rendezvous hashing.
 *
 * @internal
 */
export class PartHomes {
  readonly #homes: readonly string[];

  constructor(part: string | undefined, upstreams: readonly KnownUpstream[]) {
    this.#homes = part === undefined ? [] : rank(part, upstreams).slice(0, 2);
  }

  /** Cost of sending the part elsewhere than to its first home. */
  costOf(upstream: string): Milliseconds {
    if (this.#homes.length === 0 || upstream === this.#homes[0]) {
      return 0;
    }
    return upstream === this.#homes[1] ? SECOND_COST : OTHER_COST;
  }
}

function rank(part: string, upstreams: readonly KnownUpstream[]): string[] {
  const ranked = upstreams.map(({ record }) => ({
    id: record.id,
    // An upstream that starts again is the home that it was.
    rank: hashToUnit(part, record.name),
  }));
  ranked.sort((left, right) => left.rank - right.rank);
  return ranked.map(({ id }) => id);
}

/** A number from 0 to 1 that any process computes alike (FNV-1a). */
function hashToUnit(part: string, id: string): number {
  let hash = 0x811c9dc5;
  for (const text of [part, id]) {
    for (let at = 0; at < text.length; at += 1) {
      hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
    }
  }
  hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
  hash ^= hash >>> 13;
  return (hash >>> 0) / 0x1_0000_0000;
}
