import type { Milliseconds } from "@heroncleat/base";
import type { Backlog } from "./backlog.ts";
import type { ChosenUpstream } from "./chosen_upstream.ts";
import type { QueuedWork } from "./queued_work.ts";

/** The backlogs of an upstream. */
type Backlogs = {
  readonly ownBacklog: Backlog;
  readonly backlog: Backlog;
};

/**
 * The prefills of this entry in the backlogs of upstreams. Those of a plausible
 * length count to their expected end, others until they have ended.
 *
 * @internal
 */
export class Prefills {
  readonly #begun = new WeakMap<
    ChosenUpstream,
    readonly { readonly backlog: Backlog; readonly work: QueuedWork }[]
  >();

  begin(
    chosen: ChosenUpstream,
    { view, now }: { view: Backlogs; now: Milliseconds },
  ): void {
    const { readTime, isLengthPlausible } = chosen;
    const backlogs = [view.ownBacklog, view.backlog];
    if (isLengthPlausible) {
      for (const backlog of backlogs) {
        backlog.add(readTime, now);
      }
      return;
    }
    const works = backlogs.map((backlog) => ({
      backlog,
      work: backlog.begin(readTime, now),
    }));
    this.#begun.set(chosen, works);
  }

  end(chosen: ChosenUpstream, now: Milliseconds): void {
    for (const { backlog, work } of this.#begun.get(chosen) ?? []) {
      backlog.end(work, now);
    }
    this.#begun.delete(chosen);
  }
}
