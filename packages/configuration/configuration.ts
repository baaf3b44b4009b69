import type {
  AuditRecord,
  Change,
  ChangeCommand,
  ChangeResult,
  ConfigurationState,
  ConfigurationView,
  Edit,
  Order,
  OrderCommand,
  RefusalCommand,
  RevisionEdits,
} from "@heroncleat/schema";
import { applyEdit } from "./apply_edit.ts";
import { emptyConfiguration } from "./empty_configuration.ts";
import { findEditProblem } from "./find_edit_problem.ts";
import { keepNewest } from "./keep_newest.ts";

/** Limits of the state that is kept. */
type ConfigurationSettings = {
  /** Results kept for repeated changes. */
  readonly maxResults: number;
  readonly maxAuditRecords: number;
  /** Size of the audit trail as JSON; an edit may have a megabyte. */
  readonly maxAuditBytes: number;
  /** Revisions that a follower can receive as edits instead of a full view. */
  readonly maxHistory: number;
  /** Size of these edits as JSON, so that they fit into one message. */
  readonly maxHistoryBytes: number;
  readonly maxOrders: number;
  /** Failed attempts after which an order fails. */
  readonly maxOrderAttempts: number;
};

const DEFAULTS: ConfigurationSettings = {
  maxResults: 2000,
  maxAuditRecords: 2000,
  maxAuditBytes: 8 * 1024 * 1024,
  maxHistory: 1000,
  maxHistoryBytes: 4 * 1024 * 1024,
  maxOrders: 500,
  maxOrderAttempts: 20,
};

/** The update from a follower's revision to the present one. */
type CatchUp =
  | { readonly kind: "edits"; readonly edits: readonly RevisionEdits[] }
  | { readonly kind: "view"; readonly view: ConfigurationView };

/**
 * The replicated configuration: a deterministic state machine over committed
 * commands.
 *
 * @public
 */
export class Configuration {
  readonly #settings: ConfigurationSettings;
  #state: ConfigurationState;

  constructor(
    state: ConfigurationState = emptyConfiguration(),
    settings: Partial<ConfigurationSettings> = {},
  ) {
    this.#state = state;
    this.#settings = { ...DEFAULTS, ...settings };
  }

  get revision(): number {
    return this.#state.revision;
  }

  get state(): ConfigurationState {
    return this.#state;
  }

  get view(): ConfigurationView {
    const { revision, groups, selectors, limits, labels } = this.#state;
    return { revision, groups, selectors, limits, labels };
  }

  /** Orders without a final result, oldest first. */
  get pendingOrders(): readonly Order[] {
    return this.#state.orders.filter((order) => order.state === "pending");
  }

  /**
   * Applies a change if its expected revision is the present one. A repeated
   * change, recognized by its ID, gets its first result.
   */
  applyChange(command: ChangeCommand): ChangeResult {
    const { change } = command;
    const earlier = this.#findResult(change);
    if (earlier !== undefined) {
      return earlier;
    }
    if (change.expectedRevision !== this.#state.revision) {
      return this.#reject(change, "conflict", describeConflict(this.#state));
    }
    return this.#applyEdits(change);
  }

  /** Records in the audit trail a change that the operator API refused. */
  applyRefusal(command: RefusalCommand): ChangeResult {
    const { change, message } = command;
    const result = this.#createResult(change, { outcome: "refused", message });
    this.#recordAudit(change, result, []);
    return result;
  }

  /** Records an attempt. An order stays pending until it succeeds or fails. */
  applyOrderResult(command: OrderCommand): void {
    const order = this.#state.orders.find((candidate) =>
      candidate.number === command.number
    );
    if (order === undefined || order.state !== "pending") {
      return;
    }
    if (command.succeeded) {
      order.state = "done";
      return;
    }
    order.attempts += 1;
    order.message = command.message ?? "no reason was given";
    if (order.attempts >= this.#settings.maxOrderAttempts) {
      order.state = "failed";
    }
  }

  /** Returns the edits since `revision`, or the view if some aren't kept. */
  catchUpFrom(revision: number): CatchUp {
    const missing = this.#state.revision - revision;
    const edits = this.#state.history.filter((step) =>
      step.revision > revision
    );
    if (missing >= 0 && edits.length === missing) {
      return { kind: "edits", edits };
    }
    return { kind: "view", view: this.view };
  }

  #findResult(change: Change): ChangeResult | undefined {
    return this.#state.results.find((result) => result.changeId === change.id);
  }

  #applyEdits(change: Change): ChangeResult {
    // Edits are applied to a copy, so that an invalid change has no effect.
    const view = structuredClone(this.view);
    const before: unknown[] = [];
    for (const edit of change.edits) {
      const problem = findEditProblem(view, edit);
      if (problem !== undefined) {
        return this.#reject(change, "invalid", problem);
      }
      before.push(applyEdit(view, edit));
    }
    Object.assign(this.#state, view, { revision: this.#state.revision + 1 });
    this.#enqueueOrders(change);
    const result = this.#createResult(change, { outcome: "accepted" });
    this.#storeResult(result);
    this.#recordAudit(change, result, before);
    this.#recordHistory(change.edits);
    return result;
  }

  #reject(
    change: Change,
    outcome: "conflict" | "invalid",
    message: string,
  ): ChangeResult {
    const result = this.#createResult(change, { outcome, message });
    this.#storeResult(result);
    this.#recordAudit(change, result, []);
    return result;
  }

  #createResult(
    change: Change,
    decision: Pick<ChangeResult, "outcome" | "message">,
  ): ChangeResult {
    const { revision } = this.#state;
    return { changeId: change.id, revision, ...decision };
  }

  #storeResult(result: ChangeResult): void {
    this.#state.results.push(result);
    const { results } = this.#state;
    results.splice(0, Math.max(0, results.length - this.#settings.maxResults));
  }

  #recordAudit(change: Change, result: ChangeResult, before: unknown[]): void {
    const record: AuditRecord = {
      at: change.at,
      operator: change.operator,
      changeId: change.id,
      outcome: result.outcome,
      revision: result.revision,
      expectedRevision: change.expectedRevision,
      edits: change.edits,
      before,
    };
    if (result.message !== undefined) {
      record.message = result.message;
    }
    this.#state.audit.push(record);
    keepNewest(this.#state.audit, {
      maxCount: this.#settings.maxAuditRecords,
      maxBytes: this.#settings.maxAuditBytes,
    });
  }

  #recordHistory(edits: Edit[]): void {
    this.#state.history.push({ revision: this.#state.revision, edits });
    keepNewest(this.#state.history, {
      maxCount: this.#settings.maxHistory,
      maxBytes: this.#settings.maxHistoryBytes,
    });
  }

  /** Adds the orders of a change to the outbox in the same transition. */
  #enqueueOrders(change: Change): void {
    for (const edit of change.edits) {
      if (edit.kind !== "order_requested") {
        continue;
      }
      this.#state.orders.push({
        number: this.#state.nextOrder,
        upstream: edit.upstream,
        order: edit.order,
        state: "pending",
        attempts: 0,
        changeId: change.id,
      });
      this.#state.nextOrder += 1;
    }
    this.#pruneOrders();
  }

  #pruneOrders(): void {
    const { orders } = this.#state;
    while (orders.length > this.#settings.maxOrders) {
      const oldest = orders.findIndex((order) => order.state !== "pending");
      if (oldest === -1) {
        return;
      }
      orders.splice(oldest, 1);
    }
  }
}

function describeConflict(state: ConfigurationState): string {
  return `The configuration is at revision ${state.revision}. Remedy: read ` +
    "it again, then send the change with a new identifier.";
}
