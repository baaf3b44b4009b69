import { type Clock, createToken, splitAddress } from "@heroncleat/base";
import type { Milliseconds } from "@heroncleat/base";
import type {
  StreamOriginNotice,
  StreamOriginQuery,
  StreamOriginReply,
} from "@heroncleat/schema";
import {
  type KnownEntry,
  originHolders,
  OriginRepeats,
  OriginReserve,
  OriginSearch,
  type OriginSearchResult,
  OriginSource,
  type PossibleOrigins,
  type Route,
  type StreamOrigin,
  StreamOrigins,
} from "@heroncleat/serving";
import { firstFound } from "./first_found.ts";
import type { OriginArchive } from "./origin_archive.ts";
import { toSharedOrigin } from "./to_shared_origin.ts";
import type { Metrics } from "../../common/metrics.ts";

/** Origins in one datagram, so that it stays below the UDP size limit. */
const ORIGINS_PER_NOTICE = 5;
/** Searches at a time; callers that make up streams get no more. */
const MAX_SEARCHES = 256;
/** Interval at which streams are told again, several in a datagram. */
const REPEAT_INTERVAL: Milliseconds = 50;
/** Interval at which a search looks for entries to ask again. */
const SEARCH_INTERVAL: Milliseconds = 10;

type SharedOrigin = StreamOriginNotice["origins"][number];

/** A stream whose caller may resume it. */
type BegunStream = {
  /** See `streamKey`. */
  readonly stream: string;
  readonly route: Route;
  readonly origin: StreamOrigin;
  /** Monotonic time until which its caller may resume it. */
  readonly expiresAt: Milliseconds;
  readonly isResumed: boolean;
};

type ExchangeOptions = {
  readonly entry: string;
  readonly clock: Pick<Clock, "steady">;
  readonly metrics: Metrics;
  readonly possibleOrigins: PossibleOrigins;
  /** Finds out whether this entry knows all versions in use by now. */
  readonly confirmCurrent: () => Promise<boolean>;
  /** Whether versions of a service are being rolled out. */
  readonly isRolledOut: (service: string) => boolean;
  readonly findRoute: (name: string) => Route | undefined;
  readonly listEntries: () => readonly KnownEntry[];
  /** Keeps origins where they outlast all entries. */
  readonly archive: Pick<OriginArchive, "store" | "find">;
  readonly send: (
    notice: StreamOriginNotice | StreamOriginQuery | StreamOriginReply,
    to: { readonly host: string; readonly reserve: number },
  ) => void;
};

/**
 * Tells the origins of streams to the entries that hold them and to the archive,
 * and finds those of streams that callers resume here. Entries are told nothing
 * of a route whose streams can have begun at one version only.
 */
export class StreamOriginExchange {
  readonly #options: ExchangeOptions;
  readonly #origins = new StreamOrigins();
  /** Names of the routes of streams that began here and weren't shared. */
  readonly #unshared = new Map<string, string>();
  /** Origins to be sent in this iteration of the event loop, by host. */
  readonly #pending = new Map<string, SharedOrigin[]>();
  readonly #repeats = new OriginRepeats();
  #repeatTimer: NodeJS.Timeout | undefined;
  readonly #searches = new Map<
    string,
    { readonly search: OriginSearch; readonly wake: () => void }
  >();

  constructor(options: ExchangeOptions) {
    this.#options = options;
  }

  /** Records that the first event of a stream, or the next one, is passed on. */
  recordBegin(
    { stream, route, origin, expiresAt, isResumed }: BegunStream,
  ): void {
    const { clock, entry } = this.#options;
    this.#origins.record(stream, {
      origin,
      entry,
      begunAt: clock.steady(),
      expiresAt,
    });
    this.#archive(stream, isResumed);
    if (this.#onlyOrigin(route) === undefined) {
      this.#share(stream);
    } else {
      this.#unshared.set(stream, route.name);
    }
  }

  /**
   * Shares the streams in progress of routes that have more than one possible
   * origin now.
   */
  shareNewlyAmbiguous(): void {
    for (const [stream, name] of this.#unshared) {
      const route = this.#options.findRoute(name);
      if (route === undefined || this.#onlyOrigin(route) === undefined) {
        this.#unshared.delete(stream);
        this.#share(stream);
      }
    }
  }

  /**
   * Finds where a stream began.
   *
   * @param stream See `streamKey`; empty if the caller doesn't name the stream.
   */
  async find(stream: string, route: Route): Promise<OriginSearchResult> {
    const { clock, entry } = this.#options;
    const now = clock.steady();
    const known = this.#origins.get(stream, now);
    if (known !== undefined) {
      const age = now - known.begunAt;
      return {
        kind: "found",
        origin: known.origin,
        by: entry,
        source: OriginSource.own,
        age,
      };
    }
    const only = await this.#findCertainOrigin(route);
    if (only !== undefined) {
      return {
        kind: "found",
        origin: only,
        by: entry,
        source: OriginSource.only,
        age: 0,
      };
    }
    if (this.#searches.size >= MAX_SEARCHES) {
      return {
        kind: "unknown",
        unanswered: this.#options.listEntries().length,
      };
    }
    const search = this.#search(stream, route);
    return stream === ""
      ? await search
      : await firstFound([search, this.#options.archive.find(stream)]);
  }

  receive(
    notice: StreamOriginNotice | StreamOriginQuery | StreamOriginReply,
    host: string,
  ): void {
    if (notice.kind === "stream_origins") {
      this.#hold(notice);
    } else if (notice.kind === "stream_origin_query") {
      void this.#answer(notice, host);
    } else {
      this.#receiveReply(notice);
    }
  }

  expire(): void {
    const now = this.#options.clock.steady();
    this.#origins.expire(now);
    for (const stream of this.#unshared.keys()) {
      if (this.#origins.get(stream, now) === undefined) {
        this.#unshared.delete(stream);
      }
    }
    this.#options.metrics.gauge("stream_origins.records", this.#origins.size);
  }

  #onlyOrigin(route: Route): StreamOrigin | undefined {
    const { clock, possibleOrigins, isRolledOut } = this.#options;
    const only = possibleOrigins.only(route, clock.steady());
    return only !== undefined && !isRolledOut(only.service) ? only : undefined;
  }

  #share(stream: string): void {
    this.#tell(stream, originHolders.count);
    this.#repeats.add(stream, this.#options.clock.steady());
    this.#repeatTimer ??= setInterval(
      () => this.#tellAgain(),
      REPEAT_INTERVAL,
    ).unref();
  }

  #archive(stream: string, isResumed: boolean): void {
    const now = this.#options.clock.steady();
    const known = this.#origins.get(stream, now);
    if (known !== undefined) {
      this.#options.archive.store(
        toSharedOrigin(stream, known, now),
        isResumed,
      );
    }
  }

  /** The holders may be others by now. */
  #tellAgain(): void {
    for (const stream of this.#repeats.takeDue(this.#options.clock.steady())) {
      this.#tell(stream, originHolders.firstCount);
    }
    if (this.#repeats.size === 0) {
      clearInterval(this.#repeatTimer);
      this.#repeatTimer = undefined;
    }
  }

  /** @param count Holders to tell, the best first. */
  #tell(stream: string, count: number): void {
    const { clock, metrics } = this.#options;
    const now = clock.steady();
    const known = this.#origins.get(stream, now);
    if (known === undefined) {
      return;
    }
    const shared = toSharedOrigin(stream, known, now);
    const holders = originHolders.rank(stream, this.#listOthers());
    for (const { address } of holders.slice(0, count)) {
      metrics.increment("stream_origins.shared");
      this.#enqueue(splitAddress(address).host, shared);
    }
  }

  #listOthers(): KnownEntry[] {
    const { entry, listEntries } = this.#options;
    return listEntries().filter(({ name }) => name !== entry);
  }

  /** Leaves the first event of the stream to be sent first. */
  #enqueue(host: string, shared: SharedOrigin): void {
    if (this.#pending.size === 0) {
      setImmediate(() => this.#flush());
    }
    const queue = this.#pending.get(host) ?? [];
    this.#pending.set(host, queue);
    queue.push(shared);
  }

  #flush(): void {
    const { entry, send } = this.#options;
    for (const [host, queue] of this.#pending) {
      for (let at = 0; at < queue.length; at += ORIGINS_PER_NOTICE) {
        const origins = queue.slice(at, at + ORIGINS_PER_NOTICE);
        send({
          kind: "stream_origins",
          entry,
          origins: origins as StreamOriginNotice["origins"],
        }, { host, reserve: OriginReserve.origin });
      }
    }
    this.#pending.clear();
  }

  #hold({ entry, origins }: StreamOriginNotice): void {
    const now = this.#options.clock.steady();
    for (const { stream, service, version, age, expiresIn } of origins) {
      this.#origins.record(stream, {
        origin: { service, version },
        entry,
        begunAt: now - age,
        expiresAt: now + expiresIn,
      });
    }
  }

  async #answer(
    { query, stream, route: name }: StreamOriginQuery,
    host: string,
  ): Promise<void> {
    const { entry, findRoute, send } = this.#options;
    const route = findRoute(name);
    const only = route && this.#knownOrigin(stream) === undefined
      ? await this.#findCertainOrigin(route)
      : undefined;
    const origin = this.#knownOrigin(stream) ??
      (only && { ...only, age: 0, isOnly: true });
    send({
      kind: "stream_origin_reply",
      entry,
      query,
      ...(origin === undefined ? {} : { origin }),
    }, { host, reserve: OriginReserve[origin ? "origin" : "holder"] });
  }

  #knownOrigin(stream: string): StreamOriginReply["origin"] {
    const now = this.#options.clock.steady();
    const known = this.#origins.get(stream, now);
    return known && { ...known.origin, age: Math.max(0, now - known.begunAt) };
  }

  /**
   * The only possible origin of a route's streams. A stream may have begun at a
   * version that this entry hasn't heard of yet, so the replicas are asked.
   */
  async #findCertainOrigin(route: Route): Promise<StreamOrigin | undefined> {
    const { confirmCurrent, metrics } = this.#options;
    if (this.#onlyOrigin(route) === undefined) {
      return undefined;
    }
    const isCurrent = await confirmCurrent();
    const only = isCurrent ? this.#onlyOrigin(route) : undefined;
    metrics.increment(
      `stream_origins.${only === undefined ? "unconfirmed" : "confirmed"}`,
    );
    return only;
  }

  #receiveReply({ query, entry, origin }: StreamOriginReply): void {
    const pending = this.#searches.get(query);
    if (pending === undefined) {
      return;
    }
    const { service, version, age, isOnly } = origin ?? {};
    pending.search.recordAnswer(
      entry,
      service === undefined || version === undefined ? undefined : {
        origin: { service, version },
        age: age ?? 0,
        isOnly: isOnly === true,
      },
    );
    pending.wake();
  }

  async #search(stream: string, route: Route): Promise<OriginSearchResult> {
    const { clock, possibleOrigins } = this.#options;
    const query = createToken();
    const search = new OriginSearch(stream, {
      entries: this.#listOthers(),
      now: clock.steady(),
    });
    let result = search.result(clock.steady());
    while (result === undefined) {
      for (const { name, address } of search.listDue(clock.steady())) {
        const reserve = OriginReserve[
          search.isHolder(name) ? "holder" : "other"
        ];
        const { host } = splitAddress(address);
        this.#ask({ host, reserve }, { query, stream, route });
      }
      await this.#waitForAnswer(query, search);
      result = search.result(clock.steady());
    }
    this.#searches.delete(query);
    if (result.kind === "found" && result.isOnly) {
      possibleOrigins.adopt(route, result.origin);
    }
    return result;
  }

  #ask(
    to: { host: string; reserve: number },
    { query, stream, route }: { query: string; stream: string; route: Route },
  ): void {
    const { entry, send, metrics } = this.#options;
    metrics.increment("stream_origins.asked");
    send({
      kind: "stream_origin_query",
      entry,
      query,
      stream,
      route: route.name,
    }, to);
  }

  async #waitForAnswer(query: string, search: OriginSearch): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, SEARCH_INTERVAL);
      this.#searches.set(query, {
        search,
        wake: () => {
          clearTimeout(timer);
          resolve();
        },
      });
    });
  }
}
