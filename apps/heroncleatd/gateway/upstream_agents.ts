import type { ConnectionOpener } from "../common/connection_opener.ts";
import { EndedBy } from "./ended_by.ts";
import { UpstreamAgent } from "./upstream_agent.ts";

/**
 * The connection pools of all upstreams, by identifier of the upstream
 * instance.
 */
export class UpstreamAgents {
  readonly #agents = new Map<string, UpstreamAgent>();
  readonly #maxIdleOf: (upstream: string) => number;
  readonly #connect: ConnectionOpener;

  /** @param maxIdleOf Number of idle connections to an upstream, at most. */
  constructor(
    maxIdleOf: (upstream: string) => number,
    connect: ConnectionOpener,
  ) {
    this.#maxIdleOf = maxIdleOf;
    this.#connect = connect;
  }

  get(upstream: string): UpstreamAgent {
    const existing = this.#agents.get(upstream);
    if (existing !== undefined) {
      return existing;
    }
    const agent = new UpstreamAgent(
      () => this.#maxIdleOf(upstream),
      this.#connect,
    );
    this.#agents.set(upstream, agent);
    return agent;
  }

  /** Closes the idle connections to an upstream. */
  closeIdle(upstream: string): void {
    this.#agents.get(upstream)?.closeFreeSockets();
  }

  /**
   * Closes the connections to the upstreams that match, and returns their
   * identifiers.
   *
   * @param reason Recorded for the requests in progress.
   */
  removeWhere(
    isGone: (upstream: string) => boolean,
    reason: EndedBy,
  ): string[] {
    const removed: string[] = [];
    for (const [upstream, agent] of this.#agents) {
      if (isGone(upstream)) {
        agent.closeAll(reason);
        this.#agents.delete(upstream);
        removed.push(upstream);
      }
    }
    return removed;
  }

  closeAll(): void {
    this.removeWhere(() => true, EndedBy.shutdown);
  }
}
