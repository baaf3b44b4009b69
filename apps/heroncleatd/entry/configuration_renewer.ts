import type { Milliseconds } from "@heroncleat/base";
import { ConfigurationFollower } from "@heroncleat/configuration";
import type { ConfigurationView, RevisionEdits } from "@heroncleat/schema";
import type { EntryContext } from "./entry_context.ts";

/** Reply of a control replica to a renewal. */
type RenewalReply =
  | {
    readonly kind: "renewed";
    readonly revision: number;
    readonly catchUp:
      | { readonly kind: "edits"; readonly edits: readonly RevisionEdits[] }
      | { readonly kind: "view"; readonly view: ConfigurationView };
  }
  | { readonly kind: "not_leader"; readonly leader: string };

/** @param confirmedAt When the former view was last confirmed, if it was. */
type ViewListener = (
  view: ConfigurationView,
  confirmedAt: Milliseconds | undefined,
) => void;

/**
 * Periodically reads the configuration through a quorum, which also renews this
 * entry's configuration lease.
 */
export class ConfigurationRenewer {
  readonly #context: EntryContext;
  readonly #onView: ViewListener;
  readonly #follower = new ConfigurationFollower();
  /** Start of the last read that succeeded. */
  #confirmedAt: Milliseconds | undefined;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;
  #isFailing = false;

  constructor(
    context: EntryContext,
    onView: ViewListener,
  ) {
    this.#context = context;
    this.#onView = onView;
  }

  start(): void {
    void this.#renew();
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  async #renew(): Promise<void> {
    try {
      await this.#renewOnce();
    } catch (error) {
      this.#recordOutcome(false);
      this.#context.log("configuration").error("Can't apply a renewal", {
        error: String(error),
      });
    }
    if (!this.#isStopped) {
      const { renew_interval } = this.#context.entry;
      this.#timer = setTimeout(() => void this.#renew(), renew_interval);
    }
  }

  async #renewOnce(): Promise<void> {
    const { clock, control, entry, lease } = this.#context;
    const requestedAt = clock.now();
    const reply = await control.call<RenewalReply>("control.renew", {
      parameters: {
        entry: this.#context.name,
        revision: this.#follower.view.revision,
      },
      timeout: entry.configuration_lease,
    });
    if (reply.kind === "renewed") {
      this.#applyReply(reply);
      this.#confirmedAt = requestedAt;
      lease.extend(requestedAt, entry.configuration_lease);
    }
    this.#recordOutcome(reply.kind === "renewed");
  }

  #applyReply(reply: Extract<RenewalReply, { kind: "renewed" }>): void {
    const isFirst = this.#follower.view.revision === 0;
    const hasChanged = reply.catchUp.kind === "view"
      ? this.#follower.applyView(reply.catchUp.view)
      : this.#follower.applyEdits(reply.catchUp.edits);
    if (hasChanged || isFirst) {
      this.#onView(this.#follower.view, this.#confirmedAt);
    }
    if (hasChanged) {
      this.#context.log("configuration").info(
        `Configuration revision ${this.#follower.view.revision} is active`,
      );
    }
  }

  #recordOutcome(isRenewed: boolean): void {
    const log = this.#context.log("configuration");
    if (!isRenewed && !this.#isFailing) {
      log.warn(
        "The configuration lease can't be renewed; new requests will be refused",
      );
    }
    if (isRenewed && this.#isFailing) {
      log.info("The configuration lease is renewed again");
    }
    this.#isFailing = !isRenewed;
    this.#context.metrics.increment(
      isRenewed ? "configuration.renewed" : "configuration.renew_failed",
    );
  }
}
