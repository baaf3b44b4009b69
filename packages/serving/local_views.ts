import type { Milliseconds } from "@heroncleat/base";
import { Backlog } from "./backlog.ts";
import { PrefixCacheEstimate } from "./prefix_cache_estimate.ts";

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
      crashedAt: -Infinity,
      avoidedAt: -Infinity,
      ownBacklog: new Backlog(),
      backlog: new Backlog(),
      cache: new PrefixCacheEstimate(),
    };
    this.#views.set(id, view);
    return view;
  }

  forget(id: string): void {
    this.#views.delete(id);
  }

  [Symbol.iterator](): Iterator<[string, LocalView]> {
    return this.#views[Symbol.iterator]();
  }
}
