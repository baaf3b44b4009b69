import type { Clock } from "@heroncleat/base";
import { ByteBudget } from "./byte_budget.ts";
import { byteLimits } from "./byte_limits.ts";
import { HeldBytes } from "./held_bytes.ts";

/** Memory of a process in bytes that has room for the limits as they are. */
const FULL_MEMORY = 350_000_000;
/** What a process takes without bodies. */
const PROCESS_MEMORY = 100_000_000;
/** Part of the limits that remains in any case. */
const MIN_SHARE = 0.1;

/** What bodies hold at an entry, limited over all connections. */
export class BodyMemory {
  /** Unfinished events and bodies of responses, without a stated length. */
  readonly held: HeldBytes;
  /** Complete ones of those while callers read them. */
  readonly unread: HeldBytes;
  /** Bodies of responses that state their length. */
  readonly withLength: ByteBudget;
  /** Bodies of callers' requests. */
  readonly requests: ByteBudget;

  /** @param options.memoryLimit Bytes that the process may use. */
  constructor(
    clock: Pick<Clock, "steady">,
    { memoryLimit = Infinity }: { memoryLimit?: number | undefined } = {},
  ) {
    const share = Math.min(
      1,
      Math.max(
        MIN_SHARE,
        (memoryLimit - PROCESS_MEMORY) / (FULL_MEMORY - PROCESS_MEMORY),
      ),
    );
    this.held = new HeldBytes(byteLimits.held * share);
    this.unread = new HeldBytes(byteLimits.unread * share);
    this.withLength = new ByteBudget({
      limit: byteLimits.heldWithLength * share,
      largeBytes: byteLimits.heldWithLength,
      clock,
    });
    this.requests = new ByteBudget({
      limit: byteLimits.requests * share,
      largeBytes: byteLimits.largeRequest,
      clock,
    });
  }

  /** Describes it in bytes, for logs. */
  describe(): Readonly<Record<string, number>> {
    return {
      requestBodies: this.requests.held,
      heldResponses: this.held.total + this.withLength.held,
      unreadResponses: this.unread.total,
    };
  }
}
