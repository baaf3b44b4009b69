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

/** Bounds of what the state remembers. */
type ConfigurationSettings = {
  /** Results kept for resent changes. */
  readonly keptResults: number;
  readonly keptAudit: number;
  /** Revisions that a follower can catch up by. */
  readonly keptHistory: number;
  readonly keptOrders: number;
  /** Failed attempts after which an order is given up. */
  readonly orderAttempts: number;
};

const DEFAULTS: ConfigurationSettings = {
  keptResults: 2000,
  keptAudit: 2000,
  keptHistory: 1000,
  keptOrders: 500,
  orderAttempts: 20,
};

/** What a reader at some revision needs to reach the present one. */
type CatchUp =
  | { readonly kind: "edits"; readonly edits: readonly RevisionEdits[] }
  | { readonly kind: "view"; readonly view: ConfigurationView };

/**
 * The replicated configuration: a state machine over committed commands.
 * Every replica that applies the same commands holds the same state.
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

  /** Orders that are still to be carried out, oldest first. */
  get pendingOrders(): readonly Order[] {
    return this.#state.orders.filter((order) => order.state === "pending");
  }

  /** Decides a change. A resent change gets its first result again. */
  applyChange(command: ChangeCommand): ChangeResult {
    const { change } = command;
    const earlier = this.#findResult(change);
    if (earlier !== undefined) {
      return earlier;
    }
    if (change.expectedRevision !== this.#state.revision) {
      return this.#reject(change, "conflict", describeConflict(this.#state));
    }
    return this.#tryEdits(change);
  }

  /** Records a change that was refused before it came to a decision. */
  applyRefusal(command: RefusalCommand): ChangeResult {
    const { change, message } = command;
    const result = this.#resultOf(change, { outcome: "refused", message });
    this.#audit(change, result, []);
    return result;
  }

  /** Records how an order went; a failed one stays pending for a while. */
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
    if (order.attempts >= this.#settings.orderAttempts) {
      order.state = "failed";
    }
  }

  /** What a reader that holds `revision` lacks. */
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

  #tryEdits(change: Change): ChangeResult {
    // Edits are tried on a copy, so that an invalid change leaves no trace.
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
    const result = this.#resultOf(change, { outcome: "accepted" });
    this.#remember(result);
    this.#audit(change, result, before);
    this.#recordHistory(change.edits);
    return result;
  }

  #reject(
    change: Change,
    outcome: "conflict" | "invalid",
    message: string,
  ): ChangeResult {
    const result = this.#resultOf(change, { outcome, message });
    this.#remember(result);
    this.#audit(change, result, []);
    return result;
  }

  #resultOf(
    change: Change,
    decision: Pick<ChangeResult, "outcome" | "message">,
  ): ChangeResult {
    const { revision } = this.#state;
    return { changeId: change.id, revision, ...decision };
  }

  #remember(result: ChangeResult): void {
    this.#state.results.push(result);
    keepLast(this.#state.results, this.#settings.keptResults);
  }

  #audit(change: Change, result: ChangeResult, before: unknown[]): void {
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
    keepLast(this.#state.audit, this.#settings.keptAudit);
  }

  #recordHistory(edits: Edit[]): void {
    this.#state.history.push({ revision: this.#state.revision, edits });
    keepLast(this.#state.history, this.#settings.keptHistory);
  }

  /** Orders enter the outbox in the same step as their change. */
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
    this.#forgetOldOrders();
  }

  #forgetOldOrders(): void {
    const { orders } = this.#state;
    while (orders.length > this.#settings.keptOrders) {
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

function keepLast(values: unknown[], most: number): void {
  if (values.length > most) {
    values.splice(0, values.length - most);
  }
}
