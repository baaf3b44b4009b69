import { unreachable } from "@heroncleat/base";
import { type Rollout, RolloutRegistry } from "@heroncleat/rollouts";
import type { WorkspaceCounts } from "@heroncleat/serving";
import type { ServingCommand } from "./serving_command.ts";

/** The newest configuration document as it was published. */
export type StoredDocument = {
  readonly version: number;
  readonly source: string;
};

/** Number of usage windows whose settled counts are kept for a new leader. */
const RETAINED_WINDOWS = 20;
const SNAPSHOT_FORMAT = 1;

/**
 * Replicated state of request forwarding: the configuration document, the
 * rollouts, and the settled counts of usage windows, so that every leader
 * reports the same counts.
 */
export class ServingApplication {
  #document: StoredDocument | undefined;
  #settledCounts = new Map<number, WorkspaceCounts>();
  #rollouts = new RolloutRegistry();

  get rollouts(): RolloutRegistry {
    return this.#rollouts;
  }

  get document(): StoredDocument | undefined {
    return this.#document;
  }

  /** Settled counts by window number. */
  get settled(): ReadonlyMap<number, WorkspaceCounts> {
    return this.#settledCounts;
  }

  /**
   * Applies a committed command.
   *
   * @returns The version of the document now stored, or -1 without one.
   */
  apply(command: ServingCommand): number {
    switch (command.kind) {
      case "publish":
        this.#publish(command);
        break;
      case "settle_usage":
        this.#settleWindow(command.window, command.counts);
        break;
      case "start_rollout":
      case "move_rollout":
        this.#rollouts.apply(command);
        break;
      default:
        unreachable(command);
    }
    return this.#document?.version ?? -1;
  }

  snapshot(): string {
    return JSON.stringify({
      format: SNAPSHOT_FORMAT,
      document: this.#document,
      settled: [...this.#settledCounts],
      rollouts: this.#rollouts.list(),
    });
  }

  restore(data: string): void {
    const stored = JSON.parse(data) as {
      format: number;
      document?: StoredDocument;
      settled: [number, WorkspaceCounts][];
      /** Absent in snapshots of earlier releases. */
      rollouts?: readonly Rollout[];
    };
    if (stored.format !== SNAPSHOT_FORMAT) {
      throw new Error(
        `The snapshot has format ${stored.format}; this program reads ` +
          `${SNAPSHOT_FORMAT}. Remedy: run the release that wrote it.`,
      );
    }
    this.#document = stored.document;
    this.#settledCounts = new Map(stored.settled);
    this.#rollouts = new RolloutRegistry(stored.rollouts);
  }

  #publish(command: Extract<ServingCommand, { kind: "publish" }>): void {
    const { version, source } = command;
    if (version > (this.#document?.version ?? -1)) {
      this.#document = { version, source };
    }
  }

  /** Keeps the first counts of a window; later ones are ignored. */
  #settleWindow(window: number, counts: WorkspaceCounts): void {
    if (this.#settledCounts.has(window)) {
      return;
    }
    this.#settledCounts.set(window, counts);
    for (const settledWindow of this.#settledCounts.keys()) {
      if (settledWindow <= window - RETAINED_WINDOWS) {
        this.#settledCounts.delete(settledWindow);
      }
    }
  }
}
