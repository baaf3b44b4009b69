import type { Milliseconds } from "@heroncleat/base";
import type { Rollout, RolloutOrder } from "@heroncleat/rollouts";
import type { Log } from "../common/log.ts";
import type { ReplicaGroup } from "./replica_group.ts";
import type { RolloutOutcome } from "./rollout_outcome.ts";

type OrderOptions = {
  /** Undefined while this replica has no group. */
  readonly group: () =>
    | Pick<ReplicaGroup, "confirm" | "propose" | "application">
    | undefined;
  /** Names of the services in the configuration document, if there is one. */
  readonly services: () => ReadonlySet<string> | undefined;
  /** Whether all upstreams of the service run the version already. */
  readonly isInPlace: (order: RolloutOrder) => boolean;
  /** The group's time, in ms since 1970. */
  readonly wall: () => Milliseconds;
  readonly log: Log;
};

/** Takes operators' orders of rollouts at a control replica. */
export class RolloutOrders {
  readonly #options: OrderOptions;

  constructor(options: OrderOptions) {
    this.#options = options;
  }

  async start(order: RolloutOrder): Promise<RolloutOutcome> {
    const outcome = await this.#decide(order);
    const { service, destination, duration } = order;
    this.#options.log.info(`Rollout ordered: ${outcome}`, {
      service,
      destination,
      duration,
    });
    return outcome;
  }

  async read(service: string): Promise<Rollout | "none" | "unavailable"> {
    const group = this.#options.group();
    if (group === undefined || !await group.confirm()) {
      return "unavailable";
    }
    return group.application.rollouts.get(service) ?? "none";
  }

  async #decide(order: RolloutOrder): Promise<RolloutOutcome> {
    const group = this.#options.group();
    if (group === undefined || !await group.confirm()) {
      return "unavailable";
    }
    const services = this.#options.services();
    if (services === undefined) {
      return "unavailable";
    }
    if (!services.has(order.service)) {
      return "unknown_service";
    }
    const at = this.#options.wall();
    const kind = group.application.rollouts.classify(order, at);
    if (kind !== "new") {
      return kind === "repeated" ? "accepted" : "conflicting";
    }
    const proposal = await group.propose({
      kind: "start_rollout",
      order,
      isInPlace: this.#options.isInPlace(order),
      at,
    });
    if (proposal.kind !== "done" || !await group.confirm()) {
      return "unavailable";
    }
    // Another order may have been committed first.
    const stored = group.application.rollouts.get(order.service);
    return stored?.destination === order.destination
      ? "accepted"
      : "conflicting";
  }
}
