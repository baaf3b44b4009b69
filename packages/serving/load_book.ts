import type { RevisionCounter } from "./revision_counter.ts";
import type { UpstreamLoad } from "./upstream_load.ts";

type Loads = Readonly<Record<string, UpstreamLoad>>;

/** What all entries have under way at an upstream, and when it changed. */
type Total = { requests: number; backlog: number; revision: number };

const NOTHING: UpstreamLoad = { requests: 0, backlog: 0 };

/**
 * Adds up what entries have under way at each upstream. Sums are kept as they
 * change, so that a report costs what it names, however many entries there are.
 *
 * @internal
 */
export class LoadBook {
  readonly #revisions: RevisionCounter;
  readonly #entries = new Map<string, Loads>();
  readonly #totals = new Map<string, Total>();

  constructor(revisions: RevisionCounter) {
    this.#revisions = revisions;
  }

  /** Takes in all that an entry has under way. */
  note(entry: string, loads: Loads): void {
    const before = this.#entries.get(entry) ?? {};
    this.#entries.set(entry, loads);
    for (const [id, load] of Object.entries(loads)) {
      this.#add(id, load, before[id] ?? NOTHING);
    }
    for (const [id, load] of Object.entries(before)) {
      if (loads[id] === undefined) {
        this.#add(id, NOTHING, load);
      }
    }
  }

  /** Takes an entry's loads out, as it is silent. */
  drop(entry: string): void {
    this.note(entry, {});
    this.#entries.delete(entry);
  }

  /** Forgets upstreams that are gone and have nothing under way. */
  forget(isGone: (upstream: string) => boolean): void {
    for (const [id, { requests, backlog }] of this.#totals) {
      if (requests === 0 && backlog === 0 && isGone(id)) {
        this.#totals.delete(id);
      }
    }
  }

  /** What all entries but one have under way, by upstream. */
  sumWithout(entry: string): Record<string, UpstreamLoad> {
    return this.#list(
      entry,
      ({ requests, backlog }) => requests !== 0 || backlog !== 0,
    );
  }

  /** The same, of upstreams whose sum changed behind a revision. */
  changesWithout(
    entry: string,
    since: number,
  ): Record<string, UpstreamLoad> {
    return this.#list(entry, ({ revision }) => revision > since);
  }

  #list(
    entry: string,
    isListed: (total: Total) => boolean,
  ): Record<string, UpstreamLoad> {
    const own = this.#entries.get(entry) ?? {};
    const loads: Record<string, UpstreamLoad> = {};
    for (const [id, total] of this.#totals) {
      if (isListed(total)) {
        const { requests, backlog } = own[id] ?? NOTHING;
        loads[id] = {
          requests: total.requests - requests,
          backlog: total.backlog - backlog,
        };
      }
    }
    return loads;
  }

  #add(id: string, load: UpstreamLoad, before: UpstreamLoad): void {
    const requests = load.requests - before.requests;
    const backlog = load.backlog - before.backlog;
    if (requests === 0 && backlog === 0) {
      return;
    }
    const revision = this.#revisions.next();
    const total = this.#totals.get(id);
    if (total === undefined) {
      this.#totals.set(id, { requests, backlog, revision });
      return;
    }
    total.requests += requests;
    total.backlog += backlog;
    total.revision = revision;
  }
}
