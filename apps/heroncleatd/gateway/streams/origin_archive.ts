import { type Clock, type Milliseconds, RateLimiter } from "@heroncleat/base";
import type { StreamOriginNotice } from "@heroncleat/schema";
import {
  originReplicas,
  type OriginSearchResult,
  OriginSource,
} from "@heroncleat/serving";
import type { PeerPool } from "@heroncleat/transport";
import type { Metrics } from "../../common/metrics.ts";

/** Origins that arrive within this time share a message. */
const SEND_INTERVAL: Milliseconds = 20;
const ORIGINS_PER_MESSAGE = 16;
/**
 * Origins that one entry stores per second, so that control replicas bear many
 * entries. The others are held by entries only.
 */
const ORIGINS_PER_SECOND = 40;
/** All callers of an entry that was killed may return within a second. */
const ORIGIN_BURST = 120;
/** Share of the burst that resumed streams leave to those that begin. */
const NEW_STREAM_RESERVE = 0.5;
/** Time after which the caller is answered without the silent replicas. */
const ANSWER_TIMEOUT: Milliseconds = 150;
/** A connection whose call times out is closed, so a busy replica has longer. */
const CALL_TIMEOUT: Milliseconds = 800;

type SharedOrigin = StreamOriginNotice["origins"][number];

type ArchiveOptions = {
  readonly entry: string;
  readonly clock: Pick<Clock, "steady">;
  readonly metrics: Metrics;
  readonly pool: Pick<PeerPool, "call" | "notify">;
  /** host:port of each control replica. */
  readonly replicas: () => readonly string[];
};

/**
 * Stores the origins of streams at control replicas, which keep them on disk.
 * The entries that hold an origin may all end at once.
 */
export class OriginArchive {
  readonly #options: ArchiveOptions;
  #pending: SharedOrigin[] = [];
  #timer: NodeJS.Timeout | undefined;
  readonly #limiter = new RateLimiter(ORIGINS_PER_SECOND, ORIGIN_BURST);

  constructor(options: ArchiveOptions) {
    this.#options = options;
  }

  /** @param isResumed Whether replicas know the stream by an earlier name. */
  store(origin: SharedOrigin, isResumed: boolean): void {
    const { clock, metrics } = this.#options;
    const reserve = isResumed ? NEW_STREAM_RESERVE : 0;
    if (!this.#limiter.tryConsume(clock.steady(), { reserve })) {
      metrics.increment("stream_origins.unstored");
      return;
    }
    this.#pending.push(origin);
    this.#timer ??= setTimeout(() => this.#send(), SEND_INTERVAL).unref();
  }

  /** Asks the control replicas; resolves with the first that knows it. */
  async find(stream: string): Promise<OriginSearchResult> {
    const asked = this.#rank(stream).slice(0, originReplicas.maxAsked);
    this.#options.metrics.increment("stream_origins.asked_replicas");
    let unanswered = asked.length;
    const searches = asked.map(async (replica) => {
      const found = await this.#ask(replica, stream);
      unanswered -= 1;
      return found ?? Promise.reject(new Error("the replica doesn't know it"));
    });
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<undefined>((resolve) => {
      timer = setTimeout(resolve, ANSWER_TIMEOUT, undefined);
    });
    const found = await Promise.race([
      // Rejects once all have answered or failed without it.
      Promise.any(searches).catch(() => undefined),
      timeout,
    ]);
    clearTimeout(timer);
    return found ?? { kind: "unknown", unanswered, asked: asked.length };
  }

  async #ask(
    replica: string,
    stream: string,
  ): Promise<OriginSearchResult | undefined> {
    const reply = await this.#options.pool.call(replica, "hub.find_origin", {
      parameters: { stream },
      timeout: CALL_TIMEOUT,
    });
    const { service, version, age } = (reply ?? {}) as Record<string, unknown>;
    const isKnown = typeof service === "string" &&
      typeof version === "string" && typeof age === "number";
    return isKnown
      ? {
        kind: "found",
        origin: { service, version },
        by: replica,
        source: OriginSource.replica,
        age,
      }
      : undefined;
  }

  #send(): void {
    const { entry, pool, metrics } = this.#options;
    this.#timer = undefined;
    const byReplica = new Map<string, SharedOrigin[]>();
    for (const origin of this.#pending) {
      const ranked = this.#rank(origin.stream);
      for (const replica of ranked.slice(0, originReplicas.copies)) {
        const origins = byReplica.get(replica) ?? [];
        byReplica.set(replica, origins);
        origins.push(origin);
      }
    }
    this.#pending = [];
    for (const [replica, origins] of byReplica) {
      for (let at = 0; at < origins.length; at += ORIGINS_PER_MESSAGE) {
        const part = origins.slice(at, at + ORIGINS_PER_MESSAGE);
        metrics.increment("stream_origins.stored", part.length);
        pool.notify(replica, "hub.store_origins", {
          kind: "stream_origins",
          entry,
          origins: part,
        });
      }
    }
  }

  /** The same order at all entries, so that they agree on the copies. */
  #rank(stream: string): string[] {
    return originReplicas.rank(stream, this.#options.replicas());
  }
}
