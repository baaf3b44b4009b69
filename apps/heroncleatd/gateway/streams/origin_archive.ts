import { type Clock, type Milliseconds, RateLimiter } from "@heroncleat/base";
import type { StreamOriginNotice } from "@heroncleat/schema";
import {
  originReplicas,
  type OriginSearchResult,
  OriginSource,
} from "@heroncleat/serving";
import type { PeerPool } from "@heroncleat/transport";
import type { Metrics } from "../../common/metrics.ts";
import { originGroups } from "../../common/origin_groups.ts";

/** Origins that arrive within this time share a message. */
const SEND_INTERVAL: Milliseconds = 20;
/** Time until the next try if the budget of bytes is used up. */
const RETRY_INTERVAL: Milliseconds = 60;
/**
 * Origins that are sent at a time, at most. The more there are, the less of the
 * budget goes to what a message has besides them.
 */
const MAX_SENT = 128;
/** What a message takes besides its parameters. */
const FRAME_BYTES = 60;
/** What an entry may spend on control at the size to design for. */
const BYTES_PER_SECOND = 8000;
/** All callers of an entry that was killed may return within a second. */
const BYTE_BURST = 32_000;
/** Share of the burst that resumed streams leave to those that begin. */
const NEW_STREAM_RESERVE = 0.5;
/** Origins that wait for the budget; beyond it, only entries hold the oldest. */
const MAX_PENDING = 512;
/** Time after which the caller is answered without the silent replicas. */
const ANSWER_TIMEOUT: Milliseconds = 150;
/** A connection whose call times out is closed, so a busy replica has longer. */
const CALL_TIMEOUT: Milliseconds = 800;

type SharedOrigin = StreamOriginNotice["origins"][number];

/** An origin that waits for the budget of bytes. */
type PendingOrigin = {
  readonly origin: SharedOrigin;
  /** The replicas that store it. */
  readonly replicas: readonly string[];
  readonly addedAt: Milliseconds;
};

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
  /** Origins to send, the newest last: of streams that began, and of others. */
  readonly #begun: PendingOrigin[] = [];
  readonly #resumed: PendingOrigin[] = [];
  #timer: NodeJS.Timeout | undefined;
  readonly #limiter = new RateLimiter(BYTES_PER_SECOND, BYTE_BURST);

  constructor(options: ArchiveOptions) {
    this.#options = options;
  }

  /** @param isResumed Whether replicas know the stream by an earlier name. */
  store(origin: SharedOrigin, isResumed: boolean): void {
    const pending = isResumed ? this.#resumed : this.#begun;
    const replicas = this.#rank(origin.stream).slice(0, originReplicas.copies);
    pending.push({
      origin,
      replicas,
      addedAt: this.#options.clock.steady(),
    });
    if (pending.length > MAX_PENDING) {
      pending.shift();
      this.#options.metrics.increment("stream_origins.unstored");
    }
    this.#schedule(SEND_INTERVAL);
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

  #schedule(delay: Milliseconds): void {
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#sendPending();
    }, delay).unref();
  }

  #sendPending(): void {
    const areAllSent = this.#send(this.#begun, { reserve: 0 }) &&
      this.#send(this.#resumed, { reserve: NEW_STREAM_RESERVE });
    if (!areAllSent) {
      this.#schedule(RETRY_INTERVAL);
    }
  }

  /**
   * Sends the newest origins, whose streams go on longest.
   *
   * @returns Whether all were sent.
   */
  #send(pending: PendingOrigin[], { reserve }: { reserve: number }): boolean {
    while (pending.length > 0) {
      const sent = pending.slice(-MAX_SENT);
      const messages = this.#createMessages(sent);
      const amount = messages.reduce((sum, { bytes }) => sum + bytes, 0);
      const now = this.#options.clock.steady();
      if (!this.#limiter.tryConsume(now, { amount, reserve })) {
        return false;
      }
      pending.length -= sent.length;
      for (const { replica, batch } of messages) {
        this.#options.pool.notify(replica, "hub.store_origin_batch", batch);
      }
      this.#options.metrics.increment("stream_origins.stored", sent.length);
    }
    return true;
  }

  #createMessages(pending: readonly PendingOrigin[]) {
    const { entry, clock } = this.#options;
    const now = clock.steady();
    const byReplica = new Map<string, SharedOrigin[]>();
    for (const { origin, replicas, addedAt } of pending) {
      const waited = now - addedAt;
      const aged = {
        ...origin,
        age: origin.age + waited,
        expiresIn: Math.max(0, origin.expiresIn - waited),
      };
      for (const replica of replicas) {
        const origins = byReplica.get(replica) ?? [];
        byReplica.set(replica, origins);
        origins.push(aged);
      }
    }
    return [...byReplica].map(([replica, origins]) => {
      const batch = {
        kind: "stream_origin_batch",
        entry,
        groups: originGroups.create(origins),
      };
      const bytes = Buffer.byteLength(JSON.stringify(batch)) + FRAME_BYTES;
      return { replica, batch, bytes };
    });
  }

  /** The same order at all entries, so that they agree on the copies. */
  #rank(stream: string): string[] {
    return originReplicas.rank(stream, this.#options.replicas());
  }
}
