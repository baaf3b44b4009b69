import type { Milliseconds } from "@heroncleat/base";
import { Backlog } from "./backlog.ts";
import { dropOldest } from "./drop_oldest.ts";
import { PrefixCacheEstimate } from "./prefix_cache_estimate.ts";

/** Crashes kept of upstreams without a view; anybody may name more. */
const MAX_UNSEEN_CRASHES = 10_000;

/** State of one upstream as seen by this entry, apart from heartbeats. */
type LocalView = {
  requests: number;
  pausedUntil: Milliseconds;
  /** Latest detected crash; only later heartbeats show that it is running. */
  crashedAt: Milliseconds;
  /** When it was last found to be avoided. */
  avoidedAt: Milliseconds;
  /** Prefill backlog of this entry, and of all entries as far as known. */
  readonly ownBacklog: Backlog;
  readonly backlog: Backlog;
  readonly cache: PrefixCacheEstimate;
};

/** What one entry knows of upstreams from its own requests. @internal */
export class LocalViews {
  readonly #views = new Map<string, LocalView>();
  /** Times of crashes that others report of upstreams without a view. */
  readonly #unseenCrashes = new Map<string, Milliseconds>();

  /** Number of upstreams of which anything is kept. */
  get size(): number {
    return this.#views.size + this.#unseenCrashes.size;
  }

  /** The view of an upstream; undefined if there is none. */
  find(id: string): LocalView | undefined {
    return this.#views.get(id);
  }

  /** The view of an upstream, which is created if there is none. */
  of(id: string): LocalView {
    const existing = this.#views.get(id);
    if (existing !== undefined) {
      return existing;
    }
    const view: LocalView = {
      requests: 0,
      pausedUntil: 0,
      crashedAt: this.crashedAt(id),
      avoidedAt: -Infinity,
      ownBacklog: new Backlog(),
      backlog: new Backlog(),
      cache: new PrefixCacheEstimate(),
    };
    this.#views.set(id, view);
    this.#unseenCrashes.delete(id);
    return view;
  }

  /** Time of the latest known crash of an upstream. */
  crashedAt(id: string): Milliseconds {
    return this.#views.get(id)?.crashedAt ?? this.#unseenCrashes.get(id) ??
      -Infinity;
  }

  recordCrash(id: string, at: Milliseconds): void {
    const crashedAt = Math.max(this.crashedAt(id), at);
    const view = this.#views.get(id);
    if (view !== undefined) {
      view.crashedAt = crashedAt;
      return;
    }
    this.#unseenCrashes.delete(id);
    this.#unseenCrashes.set(id, crashedAt);
    dropOldest(this.#unseenCrashes, MAX_UNSEEN_CRASHES);
  }

  forget(id: string): void {
    this.#views.delete(id);
    this.#unseenCrashes.delete(id);
  }

  [Symbol.iterator](): Iterator<[string, LocalView]> {
    return this.#views[Symbol.iterator]();
  }
}
