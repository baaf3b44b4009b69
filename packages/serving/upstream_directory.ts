import type { Milliseconds } from "@heroncleat/base";
import type { UpstreamRecord } from "./upstream_record.ts";

/** A record and when its last news arrived. @public */
export type KnownUpstream = {
  readonly record: UpstreamRecord;
  readonly heardAt: Milliseconds;
};

/** Time after which a silent upstream that left is forgotten. */
const FORGET_AFTER = 60_000;

/**
 * The upstreams that announced themselves. News from several sources may
 * arrive in any order and more than once; an upstream that left or is leaving
 * never comes back under the same identifier.
 *
 * @public
 */
export class UpstreamDirectory {
  readonly #known = new Map<string, KnownUpstream>();

  /** Takes news in; returns the record when it changed anything. */
  merge(news: UpstreamRecord, now: Milliseconds): UpstreamRecord | undefined {
    const known = this.#known.get(news.id)?.record;
    if (known !== undefined && !isNewer(news, known)) {
      return undefined;
    }
    const record = known === undefined ? news : {
      ...news,
      sequence: Math.max(news.sequence, known.sequence),
      state: laterState(known.state, news.state),
    };
    this.#known.set(news.id, { record, heardAt: now });
    return record;
  }

  /** Notes that an upstream said that it is gone. */
  remove(id: string, now: Milliseconds): UpstreamRecord {
    const known = this.#known.get(id)?.record;
    const record: UpstreamRecord = {
      ...(known ?? UNKNOWN),
      id,
      state: "gone",
      sequence: (known?.sequence ?? 0) + 1,
    };
    this.#known.set(id, { record, heardAt: now });
    return record;
  }

  get(id: string): KnownUpstream | undefined {
    return this.#known.get(id);
  }

  list(): Iterable<KnownUpstream> {
    return this.#known.values();
  }

  /** Drops what has been silent for so long that no late news can come. */
  forget(now: Milliseconds): void {
    for (const [id, { heardAt }] of this.#known) {
      if (now - heardAt > FORGET_AFTER) {
        this.#known.delete(id);
      }
    }
  }
}

const UNKNOWN: Omit<UpstreamRecord, "id"> = {
  service: "",
  address: "",
  zone: "",
  slots: 0,
  sequence: 0,
  state: "gone",
  isSpot: false,
  leavesIn: undefined,
};

const ORDER = ["ready", "draining", "gone"];

function laterState(
  left: UpstreamRecord["state"],
  right: UpstreamRecord["state"],
): UpstreamRecord["state"] {
  return ORDER.indexOf(left) > ORDER.indexOf(right) ? left : right;
}

/** A later state counts even from an older heartbeat. */
function isNewer(news: UpstreamRecord, known: UpstreamRecord): boolean {
  return news.sequence > known.sequence ||
    ORDER.indexOf(news.state) > ORDER.indexOf(known.state);
}
