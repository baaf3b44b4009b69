import { type Clock, createSystemClock } from "@heroncleat/base";
import type { ConnectionOpener } from "../../common/connection_opener.ts";
import { EndedBy } from "../responses/ended_by.ts";
import type { RetiredAgent } from "./retired_agent.ts";
import { UpstreamAgent } from "./upstream_agent.ts";

/**
 * The connection pools of all upstreams, by identifier of the upstream
 * instance.
 */
export class UpstreamAgents {
  readonly #agents = new Map<string, UpstreamAgent>();
  readonly #retired = new Set<RetiredAgent>();
  readonly #maxIdleOf: (upstream: string) => number;
  readonly #connect: ConnectionOpener;
  readonly #clock: Pick<Clock, "steady">;
  readonly #onIdleBreak: (upstream: string) => void;

  /** @param maxIdleOf Number of idle connections to an upstream, at most. */
  constructor(
    maxIdleOf: (upstream: string) => number,
    connect: ConnectionOpener,
    { clock = createSystemClock(), onIdleBreak = () => {} }: {
      clock?: Pick<Clock, "steady">;
      /** Called when an upstream closed an idle connection. */
      onIdleBreak?: (upstream: string) => void;
    } = {},
  ) {
    this.#maxIdleOf = maxIdleOf;
    this.#connect = connect;
    this.#clock = clock;
    this.#onIdleBreak = onIdleBreak;
  }

  get(upstream: string): UpstreamAgent {
    const existing = this.#agents.get(upstream);
    if (existing !== undefined) {
      return existing;
    }
    const agent = new UpstreamAgent(
      () => this.#maxIdleOf(upstream),
      this.#connect,
      {
        clock: this.#clock,
        onIdleBreak: () => this.#onIdleBreak(upstream),
      },
    );
    this.#agents.set(upstream, agent);
    return agent;
  }

  /** Closes the idle connections to an upstream. */
  closeIdle(upstream: string): void {
    this.#agents.get(upstream)?.closeFreeSockets();
  }

  /**
   * Retires the connections to the upstreams that match: idle ones are closed,
   * those in use once they are free. Returns the upstreams' identifiers.
   */
  retireWhere(isGone: (upstream: string) => boolean): string[] {
    const retired: string[] = [];
    for (const [upstream, agent] of this.#agents) {
      if (isGone(upstream)) {
        agent.retire();
        this.#agents.delete(upstream);
        this.#retired.add({ upstream, agent });
        retired.push(upstream);
      }
    }
    return retired;
  }

  listRetired(): RetiredAgent[] {
    return [...this.#retired];
  }

  /**
   * Removes retired connections that are closed. Returns the identifiers of the
   * upstreams that have no other ones.
   */
  removeUnused(): string[] {
    const removed: string[] = [];
    for (const retired of this.#retired) {
      if (retired.agent.isUnused) {
        this.#retired.delete(retired);
        removed.push(retired.upstream);
      }
    }
    const inUse = new Set([...this.#retired].map(({ upstream }) => upstream));
    return removed.filter((upstream) =>
      !this.#agents.has(upstream) && !inUse.has(upstream)
    );
  }

  /** Closes all connections, also those in use. */
  closeAll(): void {
    for (const { agent } of this.#retired) {
      agent.closeAll(EndedBy.shutdown);
    }
    for (const agent of this.#agents.values()) {
      agent.closeAll(EndedBy.shutdown);
    }
    this.#retired.clear();
    this.#agents.clear();
  }
}
