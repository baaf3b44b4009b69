import { unreachable } from "@heroncleat/base";
import type { WorkspaceCounts } from "@heroncleat/serving";
import type { ServingCommand } from "./serving_command.ts";

/** The newest document as it was sent. */
export type StoredDocument = {
  readonly version: number;
  readonly source: string;
};

/** Usage windows whose settled counts are kept for a new holder. */
const KEPT_WINDOWS = 20;
const FORMAT = 1;

/**
 * What the control group replicates for request forwarding: the document in
 * force, and the counts of usage windows, so that every holder of the duty
 * reports the same ones.
 */
export class ServingApplication {
  #document: StoredDocument | undefined;
  #settled = new Map<number, WorkspaceCounts>();

  get document(): StoredDocument | undefined {
    return this.#document;
  }

  /** Settled counts by number of the window. */
  get settled(): ReadonlyMap<number, WorkspaceCounts> {
    return this.#settled;
  }

  /** Applies a committed command; returns the version now held. */
  apply(command: ServingCommand): number {
    switch (command.kind) {
      case "publish":
        this.#publish(command);
        break;
      case "settle_usage":
        this.#settle(command.window, command.counts);
        break;
      default:
        unreachable(command);
    }
    return this.#document?.version ?? -1;
  }

  snapshot(): string {
    return JSON.stringify({
      format: FORMAT,
      document: this.#document,
      settled: [...this.#settled],
    });
  }

  restore(data: string): void {
    const stored = JSON.parse(data) as {
      format: number;
      document?: StoredDocument;
      settled: [number, WorkspaceCounts][];
    };
    if (stored.format !== FORMAT) {
      throw new Error(
        `The snapshot has format ${stored.format}; this program reads ` +
          `${FORMAT}. Remedy: run the release that wrote it.`,
      );
    }
    this.#document = stored.document;
    this.#settled = new Map(stored.settled);
  }

  #publish(command: Extract<ServingCommand, { kind: "publish" }>): void {
    const { version, source } = command;
    if (version > (this.#document?.version ?? -1)) {
      this.#document = { version, source };
    }
  }

  /** The first counts of a window stand. */
  #settle(window: number, counts: WorkspaceCounts): void {
    if (this.#settled.has(window)) {
      return;
    }
    this.#settled.set(window, counts);
    for (const known of this.#settled.keys()) {
      if (known <= window - KEPT_WINDOWS) {
        this.#settled.delete(known);
      }
    }
  }
}
