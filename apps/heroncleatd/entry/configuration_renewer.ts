import { ConfigurationFollower } from "@heroncleat/configuration";
import type { ConfigurationView, RevisionEdits } from "@heroncleat/schema";
import type { EntryContext } from "./entry_context.ts";

/** Answer of a replica to a renewal. */
type Renewal =
  | {
    readonly kind: "renewed";
    readonly revision: number;
    readonly catchUp:
      | { readonly kind: "edits"; readonly edits: readonly RevisionEdits[] }
      | { readonly kind: "view"; readonly view: ConfigurationView };
  }
  | { readonly kind: "not_leader"; readonly leader: string };

/**
 * Reads the configuration through a quorum again and again, which also renews
 * this entry's lease on it.
 */
export class ConfigurationRenewer {
  readonly #context: EntryContext;
  readonly #onView: (view: ConfigurationView) => void;
  readonly #follower = new ConfigurationFollower();
  #timer: NodeJS.Timeout | undefined;
  #stopped = false;
  #failing = false;

  constructor(
    context: EntryContext,
    onView: (view: ConfigurationView) => void,
  ) {
    this.#context = context;
    this.#onView = onView;
  }

  start(): void {
    void this.#renew();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  async #renew(): Promise<void> {
    const { clock, control, entry, lease } = this.#context;
    const askedAt = clock.now();
    const reply = await control.call<Renewal>("control.renew", {
      parameters: {
        entry: this.#context.name,
        revision: this.#follower.view.revision,
      },
      timeout: entry.configuration_lease,
    });
    if (reply.kind === "renewed") {
      this.#take(reply);
      lease.extend(askedAt, entry.configuration_lease);
    }
    this.#noteOutcome(reply.kind === "renewed");
    if (!this.#stopped) {
      this.#timer = setTimeout(() => void this.#renew(), entry.renew_interval);
    }
  }

  #take(reply: Extract<Renewal, { kind: "renewed" }>): void {
    const first = this.#follower.view.revision === 0;
    const moved = reply.catchUp.kind === "view"
      ? this.#follower.applyView(reply.catchUp.view)
      : this.#follower.applyEdits(reply.catchUp.edits);
    if (moved || first) {
      this.#onView(this.#follower.view);
    }
    if (moved) {
      this.#context.log("configuration").info(
        `Revision ${this.#follower.view.revision} is in force`,
      );
    }
  }

  #noteOutcome(renewed: boolean): void {
    const log = this.#context.log("configuration");
    if (!renewed && !this.#failing) {
      log.warn("The lease can't be renewed; new work will be refused");
    }
    if (renewed && this.#failing) {
      log.info("The lease is renewed again");
    }
    this.#failing = !renewed;
    this.#context.metrics.increment(
      renewed ? "configuration.renewed" : "configuration.renew_failed",
    );
  }
}
