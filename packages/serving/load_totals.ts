import { createRecord, ownValue } from "@heroncleat/base";
import type { RevisionCounter } from "./revision_counter.ts";
import type { UpstreamLoad } from "./upstream_load.ts";

type Loads = Readonly<Record<string, UpstreamLoad>>;

/** Load of all entries on one upstream, and the revision of its last change. */
type UpstreamTotal = { requests: number; backlog: number; revision: number };

const NO_LOAD: UpstreamLoad = { requests: 0, backlog: 0 };

/**
 * Sums the requests that entries have in flight at each upstream. Sums are
 * updated incrementally, so that applying a report takes time proportional to
 * its size and not to the number of entries.
 *
 * @internal
 */
export class LoadTotals {
  readonly #revisions: RevisionCounter;
  readonly #entries = new Map<string, Loads>();
  readonly #totals = new Map<string, UpstreamTotal>();

  constructor(revisions: RevisionCounter) {
    this.#revisions = revisions;
  }

  /** Replaces the loads of an entry. */
  update(entry: string, loads: Loads): void {
    const previous = this.#entries.get(entry) ?? {};
    this.#entries.set(entry, loads);
    for (const [id, load] of Object.entries(loads)) {
      this.#add(id, load, ownValue(previous, id) ?? NO_LOAD);
    }
    for (const [id, load] of Object.entries(previous)) {
      if (!Object.hasOwn(loads, id)) {
        this.#add(id, NO_LOAD, load);
      }
    }
  }

  /** Removes the loads of an unresponsive entry. */
  remove(entry: string): void {
    this.update(entry, {});
    this.#entries.delete(entry);
  }

  /** Removes departed upstreams without load. */
  removeIdle(isGone: (upstream: string) => boolean): void {
    for (const [id, { requests, backlog }] of this.#totals) {
      if (requests === 0 && backlog === 0 && isGone(id)) {
        this.#totals.delete(id);
      }
    }
  }

  /**
   * Loads of all entries but one, by upstream.
   *
   * @param ids Upstreams that the receiver follows; undefined for all.
   */
  sumExcluding(
    entry: string,
    ids?: ReadonlySet<string>,
  ): Record<string, UpstreamLoad> {
    return this.#collect(
      { entry, ids },
      ({ requests, backlog }) => requests !== 0 || backlog !== 0,
    );
  }

  /** The same, of upstreams whose sum changed after a revision. */
  changesExcluding(
    entry: string,
    since: number,
    ids?: ReadonlySet<string>,
  ): Record<string, UpstreamLoad> {
    return this.#collect({ entry, ids }, ({ revision }) => revision > since);
  }

  #collect(
    { entry, ids = this.#totals }: {
      entry: string;
      ids: { keys(): Iterable<string> } | undefined;
    },
    isIncluded: (total: UpstreamTotal) => boolean,
  ): Record<string, UpstreamLoad> {
    const own = this.#entries.get(entry) ?? {};
    const loads = createRecord<UpstreamLoad>();
    for (const id of ids.keys()) {
      const total = this.#totals.get(id);
      if (total !== undefined && isIncluded(total)) {
        const { requests, backlog } = ownValue(own, id) ?? NO_LOAD;
        loads[id] = {
          requests: total.requests - requests,
          backlog: total.backlog - backlog,
        };
      }
    }
    return loads;
  }

  #add(id: string, load: UpstreamLoad, previous: UpstreamLoad): void {
    const requests = load.requests - previous.requests;
    const backlog = load.backlog - previous.backlog;
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
