import type { Milliseconds } from "@heroncleat/base";
import type { UpstreamRecord } from "./upstream_record.ts";

/** A record and when its last news arrived. @public */
export type KnownUpstream = {
  readonly record: UpstreamRecord;
  readonly heardAt: Milliseconds;
};

/**
 * What news of an upstream brought: something new of it, only a sign of life,
 * or nothing, as later news came before.
 *
 * @public
 */
export type NewsOutcome = "changed" | "heard" | "late";

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

  /** Takes news in and says what they brought. */
  merge(news: UpstreamRecord, now: Milliseconds): NewsOutcome {
    const known = this.#known.get(news.id)?.record;
    if (known !== undefined && !isNewer(news, known)) {
      return "late";
    }
    const record = known === undefined ? news : {
      ...news,
      sequence: Math.max(news.sequence, known.sequence),
      state: laterState(known.state, news.state),
    };
    this.#known.set(news.id, { record, heardAt: now });
    return known !== undefined && isSameBeside(record, known)
      ? "heard"
      : "changed";
  }

  /** Takes in that a known upstream sent a heartbeat like the one before. */
  refresh(id: string, sequence: number, now: Milliseconds): void {
    const known = this.#known.get(id);
    if (known !== undefined && sequence > known.record.sequence) {
      const record = { ...known.record, sequence };
      this.#known.set(id, { record, heardAt: now });
    }
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

/** Whether two records differ in nothing but the heartbeat's number. */
function isSameBeside(left: UpstreamRecord, right: UpstreamRecord): boolean {
  return left.service === right.service && left.address === right.address &&
    left.zone === right.zone && left.slots === right.slots &&
    left.state === right.state && left.isSpot === right.isSpot &&
    left.leavesIn === right.leavesIn;
}

/** A later state counts even from an older heartbeat. */
function isNewer(news: UpstreamRecord, known: UpstreamRecord): boolean {
  return news.sequence > known.sequence ||
    ORDER.indexOf(news.state) > ORDER.indexOf(known.state);
}
