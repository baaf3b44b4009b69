import type { Milliseconds } from "@heroncleat/base";
import type { KnownEntry } from "./known_entry.ts";
import { originHolders } from "./origin_holders.ts";
import type { OriginPolicy } from "./origin_policy.ts";
import { OriginRepeats } from "./origin_repeats.ts";
import { OriginReserve } from "./origin_reserve.ts";
import { OriginSearch, type OriginSearchResult } from "./origin_search.ts";
import { OriginSource } from "./origin_source.ts";
import type { Route } from "./route.ts";
import type { SimulatedEntry } from "./simulated_origin_entry.ts";
import type { SimulatedOriginArchive } from "./simulated_origin_archive.ts";
import type { SimulatedOriginNetwork } from "./simulated_origin_network.ts";
import type { SimulatedReplicaLink } from "./simulated_replica_link.ts";
import type { StreamOrigin } from "./stream_origin.ts";
import type { VirtualTime } from "./virtual_time.ts";

const SEARCH_INTERVAL: Milliseconds = 10;
/** As at entries: age of a reply until which its versions are trusted. */
const CURRENT_TIMEOUT: Milliseconds = 1000;

type ExchangeOptions = {
  readonly policy: OriginPolicy;
  readonly route: Route;
  readonly entries: readonly SimulatedEntry[];
  readonly network: SimulatedOriginNetwork;
  readonly archive: SimulatedOriginArchive;
  readonly link: SimulatedReplicaLink;
  readonly time: VirtualTime;
};

/**
 * What simulated entries tell and ask each other about streams.
 *
 * @internal
 */
export class SimulatedOriginExchange {
  readonly #options: ExchangeOptions;

  constructor(options: ExchangeOptions) {
    this.#options = options;
  }

  #only(entry: SimulatedEntry): StreamOrigin | undefined {
    return entry.possible.only(this.#options.route, this.#options.time.now);
  }

  /** Finds the only possible origin, if the entry knows all versions. */
  #findCertain(
    entry: SimulatedEntry,
    done: (origin: StreamOrigin | undefined) => void,
  ): void {
    const { policy, time, link } = this.#options;
    const knownAt = policy.currentBy === "arrival"
      ? entry.syncedAt
      : entry.requestedAt;
    if (
      this.#only(entry) === undefined || time.now - knownAt >= CURRENT_TIMEOUT
    ) {
      done(undefined);
    } else if (policy.currentBy === "confirmation") {
      link.confirm(entry, (isConfirmed) => {
        done(isConfirmed ? this.#only(entry) : undefined);
      });
    } else {
      done(this.#only(entry));
    }
  }

  /** Records where a stream began, and tells the holders if need be. */
  record(entry: SimulatedEntry, stream: string, origin: StreamOrigin): void {
    const known = this.#knownAt(entry, origin);
    entry.origins.record(stream, known);
    this.#options.archive.store(stream, known, () => entry.isRunning);
    if (this.#only(entry) === undefined) {
      this.#share(entry, stream);
    } else {
      entry.unshared.add(stream);
    }
  }

  #knownAt({ known }: SimulatedEntry, origin: StreamOrigin) {
    const begunAt = this.#options.time.now;
    return { origin, entry: known.name, begunAt, expiresAt: begunAt + 20_000 };
  }

  shareNewlyAmbiguous(entry: SimulatedEntry): void {
    if (this.#only(entry) === undefined) {
      for (const stream of entry.unshared) {
        this.#share(entry, stream);
      }
      entry.unshared.clear();
    }
  }

  #share(entry: SimulatedEntry, stream: string): void {
    const { policy, time } = this.#options;
    this.#tell(entry, { stream, count: policy.holders });
    if (policy.toldAgain > 0) {
      time.schedule(OriginRepeats.delay, () => {
        if (entry.isRunning) {
          this.#tell(entry, { stream, count: policy.toldAgain });
        }
      });
    }
  }

  #tell(
    entry: SimulatedEntry,
    { stream, count }: { stream: string; count: number },
  ): void {
    const known = entry.origins.get(stream, this.#options.time.now);
    if (known === undefined) {
      return;
    }
    const holders = originHolders.rank(stream, this.#listOthers(entry))
      .slice(0, count);
    for (const { name } of holders) {
      this.#options.network.send(entry, {
        to: name,
        reserve: OriginReserve.origin,
        deliver: ({ origins }) => origins.record(stream, known),
      });
    }
  }

  #listOthers(entry: SimulatedEntry): KnownEntry[] {
    return this.#options.entries.filter((each) => each !== entry)
      .map(({ known }) => known);
  }

  find(
    entry: SimulatedEntry,
    stream: string,
    done: (result: OriginSearchResult) => void,
  ): void {
    const own = entry.origins.get(stream, this.#options.time.now);
    const finish = (origin: StreamOrigin | undefined) => {
      if (origin !== undefined) {
        done({
          kind: "found",
          origin,
          by: entry.known.name,
          source: OriginSource[own === undefined ? "only" : "own"],
          age: 0,
        });
      } else if (this.#options.policy.asks === "nobody") {
        done({ kind: "unknown", unanswered: 0 });
      } else {
        this.#searchEverywhere(entry, stream, done);
      }
    };
    if (own === undefined) {
      this.#findCertain(entry, finish);
    } else {
      finish(own.origin);
    }
  }

  /** Asks the other entries and the control replicas at the same time. */
  #searchEverywhere(
    entry: SimulatedEntry,
    stream: string,
    done: (result: OriginSearchResult) => void,
  ): void {
    let left = 2;
    const finish = (result: OriginSearchResult) => {
      left -= 1;
      if (left > 0 && result.kind === "unknown") {
        return;
      }
      if (left >= 0) {
        left = -1;
        done(result);
      }
    };
    this.#search(entry, stream, finish);
    this.#options.archive.find(stream, finish);
  }

  #search(
    entry: SimulatedEntry,
    stream: string,
    done: (result: OriginSearchResult) => void,
  ): void {
    const startedAt = this.#options.time.now;
    const others = this.#listOthers(entry);
    const asked = this.#options.policy.asks === "holders"
      ? originHolders.rank(stream, others)
        .slice(0, originHolders.firstCount)
      : others;
    const search = new OriginSearch(stream, { entries: asked, now: startedAt });
    let isDone = false;
    const advance = () => {
      const result = search.result(this.#options.time.now);
      if (isDone) {
        return;
      }
      if (result !== undefined) {
        isDone = true;
        done(result);
        return;
      }
      for (const { name } of search.listDue(this.#options.time.now)) {
        this.#ask(entry, { name, stream, search, advance });
      }
      this.#options.time.schedule(SEARCH_INTERVAL, advance);
    };
    advance();
  }

  #ask(
    entry: SimulatedEntry,
    { name, stream, search, advance }: {
      name: string;
      stream: string;
      search: OriginSearch;
      advance: () => void;
    },
  ): void {
    this.#options.network.send(entry, {
      to: name,
      reserve: this.#reserve(search.isHolder(name) ? "holder" : "other"),
      deliver: (asked) => {
        const known = asked.origins.get(stream, this.#options.time.now);
        const reply = (origin: StreamOrigin | undefined) =>
          this.#options.network.send(asked, {
            to: entry.known.name,
            reserve: this.#reserve(origin === undefined ? "holder" : "origin"),
            deliver: () => {
              search.recordAnswer(
                name,
                origin && { origin, age: 0, isOnly: known === undefined },
              );
              advance();
            },
          });
        if (known === undefined) {
          this.#findCertain(asked, reply);
        } else {
          reply(known.origin);
        }
      },
    });
  }

  #reserve(kind: keyof typeof OriginReserve): number {
    return this.#options.policy.hasReserve ? OriginReserve[kind] : 0;
  }
}
