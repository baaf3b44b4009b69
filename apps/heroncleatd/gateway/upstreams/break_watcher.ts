import type { Socket } from "node:net";
import type { Milliseconds } from "@heroncleat/base";
import type { UpstreamDirectory } from "@heroncleat/serving";
import { EXIT_TIME } from "../../common/exit_time.ts";
import type { Log } from "../../common/log.ts";
import type { Metrics } from "../../common/metrics.ts";
import type { UpstreamAgent } from "./upstream_agent.ts";

/**
 * Time within which another entry's report of an end arrives. A connection that
 * is older was opened before the end.
 */
const MAX_REPORT_DELAY: Milliseconds = 300;

type WatcherOptions = {
  readonly directory: UpstreamDirectory;
  readonly agentOf: (upstream: string) => UpstreamAgent;
  /** Whether streams of a service may be resumed. */
  readonly isResumable: (service: string) => boolean;
  /**
   * Whether a new connection to an address (host:port) is accepted and stays
   * open for a time.
   */
  readonly keepsConnection: (
    address: string,
    hold: Milliseconds,
  ) => Promise<boolean>;
  /** Whether this entry's own links may be why connections fail. */
  readonly areLinksInDoubt: (service: string) => boolean;
  /** Tells other entries that the process of an upstream may have ended. */
  readonly report: (upstream: string) => void;
  readonly log: Log;
  readonly metrics: Metrics;
};

/**
 * Finds out whether the process of an upstream has ended when it breaks a
 * connection. It may start again with another version, and streams must not go
 * on there before it has reported that.
 */
export class BreakWatcher {
  readonly #options: WatcherOptions;

  constructor(options: WatcherOptions) {
    this.#options = options;
  }

  /** Records that an upstream refused a connection, as nothing listens there. */
  recordRefusal(upstream: string): void {
    if (this.#isRelevant(upstream)) {
      this.#options.agentOf(upstream).recordBreak();
      this.#report(upstream, "refused");
    }
  }

  /** Records that an upstream broke a connection. */
  recordBreak(upstream: string): void {
    if (this.#isRelevant(upstream)) {
      this.#check(upstream).catch((error: Error) => {
        this.#options.log.warn("An upstream couldn't be checked", {
          upstream,
          error: error.message,
        });
      });
    }
  }

  /** Records that another entry reported the end of an upstream's process. */
  recordReport(upstream: string): void {
    if (this.#isRelevant(upstream)) {
      void this.#checkReport(upstream);
    }
  }

  #isRelevant(upstream: string): boolean {
    const { directory, isResumable } = this.#options;
    const known = directory.get(upstream);
    return known !== undefined && isResumable(known.record.service);
  }

  async #check(upstream: string): Promise<void> {
    const { agentOf, directory, keepsConnection, metrics } = this.#options;
    const agent = agentOf(upstream);
    const refute = agent.recordBreak();
    const others = agent.listOpen(0);
    metrics.increment("gateway.upstream_breaks");
    const { address } = directory.get(upstream)!.record;
    // A process that starts again takes longer until it accepts connections.
    const isRunning = others.length === 0
      ? await keepsConnection(address, EXIT_TIME)
      : await staysOpen(others);
    if (isRunning) {
      refute();
      return;
    }
    this.#report(upstream, "broken");
  }

  /** The entry that reported it may be cut off from the upstream. */
  async #checkReport(upstream: string): Promise<void> {
    const agent = this.#options.agentOf(upstream);
    const refute = agent.recordBreak();
    if (await staysOpen(agent.listOpen(MAX_REPORT_DELAY))) {
      refute();
    }
  }

  #report(upstream: string, cause: "refused" | "broken"): void {
    const { areLinksInDoubt, directory, agentOf, log, metrics, report } =
      this.#options;
    const known = directory.get(upstream);
    const mayHaveEnded = known !== undefined &&
      agentOf(upstream).mayHaveEnded(known.receivedAt);
    if (!mayHaveEnded) {
      return;
    }
    metrics.increment("gateway.upstream_ends_suspected");
    const isReported = !areLinksInDoubt(known.record.service);
    log.debug("The process of an upstream may have ended", {
      upstream,
      cause,
      reported: isReported ? "yes" : "no",
    });
    if (isReported) {
      report(upstream);
    }
  }
}

/** Whether one of several open connections outlasts the end of a process. */
async function staysOpen(connections: readonly Socket[]): Promise<boolean> {
  await new Promise((resolve) => setTimeout(resolve, EXIT_TIME));
  return connections.some(({ closed }) => !closed);
}
