import type { Milliseconds } from "@heroncleat/base";
import type { PeerPool } from "@heroncleat/transport";
import type { ReadOutcome } from "./read_outcome.ts";

/** The leader's method that gives a confirmed read index. */
const DEFAULT_METHOD = "control.read_index";

/** The part of a replica that reads need. */
type ReadableReplica = {
  readIndex(timeout: Milliseconds): Promise<ReadOutcome>;
  waitApplied(index: number, timeout: Milliseconds): Promise<boolean>;
};

/** What a batch of reads came to. */
type Confirmation =
  | { readonly kind: "confirmed" }
  | { readonly kind: "not_leader"; readonly leader: string };

/**
 * Confirms through a quorum that this replica has applied everything that was
 * committed when the read was asked for. Reads that arrive while one is under
 * way share the next one, so the leader sees one read at a time from here.
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
      this.#current = this.#run();
      return this.#current;
    }
    // The one under way may have read the index before this call.
    this.#next ??= this.#current.then(() => {
      this.#next = undefined;
      this.#current = this.#run();
      return this.#current;
    });
    return this.#next;
  }

  async #run(): Promise<Confirmation> {
    try {
      return await this.#readOnce();
    } finally {
      if (this.#next === undefined) {
        this.#current = undefined;
      }
    }
  }

  async #readOnce(): Promise<Confirmation> {
    let outcome = await this.#replica.readIndex(this.#timeout);
    if (outcome.kind === "not_leader" && outcome.leader !== "") {
      outcome = await this.#askLeader(outcome.leader);
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

  async #askLeader(leader: string): Promise<ReadOutcome> {
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
