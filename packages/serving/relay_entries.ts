import type { Milliseconds } from "@heroncleat/base";
import type { KnownEntry } from "./known_entry.ts";

/** Time for which an entry isn't asked again that reaches no upstream either. */
const UNABLE_PERIOD: Milliseconds = 1000;
/** Time for which an entry counts as one that doubts its own links. */
const DOUBT_PERIOD: Milliseconds = 500;
/** Time for which an entry counts as one that reaches upstreams. */
const PROVEN_PERIOD: Milliseconds = 1000;
/**
 * Requests in flight through an entry for which a farther one is as good: bytes
 * between availability zones cost more, and regions add latency.
 */
const OTHER_ZONE_COST = 4;
const OTHER_REGION_COST = 32;
/** Cost of an availability zone in which an entry has refused this request. */
const REFUSING_ZONE_COST = 64;
/** Cost of an entry that hasn't served a request lately, while others refuse. */
const UNPROVEN_COST = 16;
/** Cost of an entry that doubts its own links: it is asked after all others. */
const DOUBTED_COST = 1024;

type ChoiceOptions = {
  readonly service: string;
  /** Where the entry is that chooses. */
  readonly zone: string;
  readonly region: string;
  /** Names of the entries that were tried for this request. */
  readonly excluded: ReadonlySet<string>;
  /** Zones of the entries that have refused it; a whole one may be cut off. */
  readonly refusingZones: ReadonlySet<string>;
  readonly now: Milliseconds;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
};

/**
 * Chooses the entry to which another one passes on the requests of a service
 * whose upstreams it can't reach: one that served lately, a near one, with few
 * requests in flight there.
 *
 * @public
 */
export class RelayEntries {
  readonly #requests = new Map<string, number>();
  /** Until when entries are avoided, by name and service. */
  readonly #unableUntil = new Map<string, Milliseconds>();
  /** Until when entries are asked last, by name and service. */
  readonly #doubtedUntil = new Map<string, Milliseconds>();
  /** Until when entries are asked first, by name and service. */
  readonly #provenUntil = new Map<string, Milliseconds>();

  choose(
    entries: Iterable<KnownEntry>,
    options: ChoiceOptions,
  ): KnownEntry | undefined {
    let best: KnownEntry | undefined;
    let lowest = Infinity;
    const hasRefusals = this.#hasRefusals(options);
    for (const entry of entries) {
      if (!this.#isEligible(entry, options)) {
        continue;
      }
      const requests = this.#requests.get(entry.name) ?? 0;
      // The random part only decides between equal costs.
      const cost = requests + distanceCost(entry, options) +
        (options.refusingZones.has(entry.zone) ? REFUSING_ZONE_COST : 0) +
        (hasRefusals ? this.#evidenceCost(entry, options) : 0) +
        options.random();
      if (cost < lowest) {
        lowest = cost;
        best = entry;
      }
    }
    return best;
  }

  /** Counts a request at an entry until the returned function is called. */
  begin(entry: string): () => void {
    this.#requests.set(entry, (this.#requests.get(entry) ?? 0) + 1);
    let isEnded = false;
    return () => {
      if (!isEnded) {
        isEnded = true;
        this.#end(entry);
      }
    };
  }

  /** Records that an entry reaches no upstream of a service, or fails. */
  recordUnable(entry: string, service: string, now: Milliseconds): void {
    recordUntil(this.#unableUntil, keyOf(entry, service), {
      now,
      until: now + UNABLE_PERIOD,
    });
  }

  /** Records that an entry refused, as it may reach no upstream of a service. */
  recordDoubt(entry: string, service: string, now: Milliseconds): void {
    recordUntil(this.#doubtedUntil, keyOf(entry, service), {
      now,
      until: now + DOUBT_PERIOD,
    });
  }

  /** Records that an upstream of a service responded through an entry. */
  recordServed(entry: string, service: string, now: Milliseconds): void {
    const key = keyOf(entry, service);
    this.#doubtedUntil.delete(key);
    recordUntil(this.#provenUntil, key, { now, until: now + PROVEN_PERIOD });
  }

  /** Whether an entry refused lately, so that it matters which one is asked. */
  #hasRefusals({ now }: ChoiceOptions): boolean {
    for (const times of [this.#unableUntil, this.#doubtedUntil]) {
      for (const until of times.values()) {
        if (until > now) {
          return true;
        }
      }
    }
    return false;
  }

  #evidenceCost(
    { name }: KnownEntry,
    { service, now }: ChoiceOptions,
  ): number {
    const key = keyOf(name, service);
    if ((this.#doubtedUntil.get(key) ?? 0) > now) {
      return DOUBTED_COST;
    }
    return (this.#provenUntil.get(key) ?? 0) > now ? 0 : UNPROVEN_COST;
  }

  #isEligible(entry: KnownEntry, options: ChoiceOptions): boolean {
    const { service, now, excluded } = options;
    if (entry.unreachable?.includes(service)) {
      return false;
    }
    const until = this.#unableUntil.get(keyOf(entry.name, service)) ?? 0;
    return until <= now && !excluded.has(entry.name);
  }

  #end(entry: string): void {
    const left = (this.#requests.get(entry) ?? 1) - 1;
    if (left === 0) {
      this.#requests.delete(entry);
    } else {
      this.#requests.set(entry, left);
    }
  }
}

function distanceCost(
  entry: KnownEntry,
  { zone, region }: { zone: string; region: string },
): number {
  if (entry.zone === zone) {
    return 0;
  }
  return entry.region === region ? OTHER_ZONE_COST : OTHER_REGION_COST;
}

/** Sets the time of a key, and drops the times that have passed. */
function recordUntil(
  times: Map<string, Milliseconds>,
  key: string,
  { now, until }: { now: Milliseconds; until: Milliseconds },
): void {
  for (const [other, passed] of times) {
    if (passed <= now) {
      times.delete(other);
    }
  }
  times.set(key, until);
}

function keyOf(entry: string, service: string): string {
  return `${service}/${entry}`;
}
