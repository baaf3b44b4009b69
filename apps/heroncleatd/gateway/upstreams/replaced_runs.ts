import { setImmediate } from "node:timers/promises";
import type { UpstreamDirectory } from "@heroncleat/serving";
import type { Log } from "../../common/log.ts";
import { EndedBy } from "../responses/ended_by.ts";
import { mayGiveUpRun } from "./may_give_up_run.ts";
import type { RetiredAgent } from "./retired_agent.ts";
import type { UpstreamRun } from "./upstream_run.ts";

type ReplacedRunsOptions = {
  readonly listRetired: () => readonly RetiredAgent[];
  readonly directory: Pick<UpstreamDirectory, "get" | "findReplacement">;
  /**
   * Whether a connection to an address (host:port) can be opened; undefined if
   * that can't be tried.
   */
  readonly probe: (address: string) => Promise<boolean | undefined>;
  readonly log: Log;
};

/** What was received of a run by the last check. */
type Progress = { readonly bytes: number; readonly silentChecks: number };

/**
 * Gives up runs at replaced upstream instances that are certain not to respond.
 * A failed VM doesn't reset its connections.
 */
export class ReplacedRuns {
  readonly #options: ReplacedRunsOptions;
  readonly #progress = new WeakMap<UpstreamRun, Progress>();
  #isChecking = false;

  constructor(options: ReplacedRunsOptions) {
    this.#options = options;
  }

  /** Must be called at intervals; does nothing while a check is in progress. */
  async check(): Promise<void> {
    if (this.#isChecking) {
      return;
    }
    this.#isChecking = true;
    try {
      await this.#checkAll();
    } finally {
      this.#isChecking = false;
    }
  }

  async #checkAll(): Promise<void> {
    for (const { upstream, agent } of this.#options.listRetired()) {
      const replacement = this.#findReplacementAddress(upstream);
      const candidates = agent.listRuns()
        .filter((run) => this.#mayGiveUp(run, replacement !== undefined));
      if (candidates.length === 0 || replacement === undefined) {
        continue;
      }
      const isUp = await this.#options.probe(replacement);
      // Reads first what has arrived meanwhile.
      await setImmediate();
      if (
        isUp === true && this.#findReplacementAddress(upstream) === replacement
      ) {
        this.#giveUp(
          upstream,
          candidates.filter((run) => this.#mayStillGiveUp(run)),
        );
      }
    }
  }

  #giveUp(upstream: string, runs: readonly UpstreamRun[]): void {
    if (runs.length === 0) {
      return;
    }
    this.#options.log.info("Gives up silent runs of a replaced upstream", {
      upstream,
      runs: runs.length,
    });
    for (const run of runs) {
      run.recordEndedBy(EndedBy.replacedInstance);
      run.giveUp();
    }
  }

  #mayGiveUp(run: UpstreamRun, isReplaced: boolean): boolean {
    return mayGiveUpRun({
      isReplaced,
      // Probed only if all else allows it.
      isReplacementUp: true,
      isReplaceable: run.isReplaceable(),
      silentChecks: this.#countSilentChecks(run),
    });
  }

  #countSilentChecks(run: UpstreamRun): number {
    const bytes = run.bytesReceived();
    const last = this.#progress.get(run);
    const isSilent = last?.bytes === bytes && !run.isPaused();
    const silentChecks = isSilent ? last.silentChecks + 1 : 0;
    this.#progress.set(run, { bytes, silentChecks });
    return silentChecks;
  }

  /** Whether nothing was received since the last check. */
  #mayStillGiveUp(run: UpstreamRun): boolean {
    return this.#progress.get(run)?.bytes === run.bytesReceived() &&
      run.isReplaceable();
  }

  /**
   * The address of the instance that replaced another one. At the same address
   * the kernel resets connections of the former instance.
   */
  #findReplacementAddress(upstream: string): string | undefined {
    const { directory } = this.#options;
    const address = directory.get(upstream)?.record.address;
    const replacement = directory.findReplacement(upstream)?.record;
    return replacement?.state === "ready" && replacement.address !== address
      ? replacement.address
      : undefined;
  }
}
