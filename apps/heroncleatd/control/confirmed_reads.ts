import type { Milliseconds } from "@heroncleat/base";
import type { PeerPool } from "@heroncleat/transport";
import type { ReadOutcome } from "./read_outcome.ts";

/** The method of the leader that returns a confirmed read index. */
const DEFAULT_METHOD = "control.read_index";

type ReadableReplica = {
  readIndex(timeout: Milliseconds): Promise<ReadOutcome>;
  waitApplied(index: number, timeout: Milliseconds): Promise<boolean>;
};

type Confirmation =
  | { readonly kind: "confirmed" }
  | { readonly kind: "not_leader"; readonly leader: string };

/**
 * Makes reads of the local state linearizable: a quorum confirms that this
 * replica has applied every command committed before the read. Reads that
 * arrive meanwhile share the next confirmation.
 */
export class ConfirmedReads {
  readonly #replica: ReadableReplica;
  readonly #pool: PeerPool;
  readonly #timeout: Milliseconds;
  readonly #method: string;
  #current: Promise<Confirmation> | undefined;
  #next: Promise<Confirmation> | undefined;

  constructor(
    replica: ReadableReplica,
    options: { pool: PeerPool; timeout: Milliseconds; method?: string },
  ) {
    this.#replica = replica;
    this.#pool = options.pool;
    this.#timeout = options.timeout;
    this.#method = options.method ?? DEFAULT_METHOD;
  }

  confirm(): Promise<Confirmation> {
    if (this.#current === undefined) {
      this.#current = this.#confirmBatch();
      return this.#current;
    }
    // The confirmation in flight may have read its index before this call.
    this.#next ??= this.#current.then(() => {
      this.#next = undefined;
      this.#current = this.#confirmBatch();
      return this.#current;
    });
    return this.#next;
  }

  async #confirmBatch(): Promise<Confirmation> {
    try {
      return await this.#waitForReadIndex();
    } finally {
      if (this.#next === undefined) {
        this.#current = undefined;
      }
    }
  }

  async #waitForReadIndex(): Promise<Confirmation> {
    let outcome = await this.#replica.readIndex(this.#timeout);
    if (outcome.kind === "not_leader" && outcome.leader !== "") {
      outcome = await this.#requestLeaderIndex(outcome.leader);
    }
    if (outcome.kind === "not_leader") {
      return outcome;
    }
    const applied = await this.#replica.waitApplied(
      outcome.index,
      this.#timeout,
    );
    return applied ? { kind: "confirmed" } : { kind: "not_leader", leader: "" };
  }

  async #requestLeaderIndex(leader: string): Promise<ReadOutcome> {
    try {
      return await this.#pool.call(leader, this.#method, {
        parameters: {},
        timeout: this.#timeout,
      }) as ReadOutcome;
    } catch {
      return { kind: "not_leader", leader: "" };
    }
  }
}
