import type { Clock } from "@heroncleat/base";
import { ByteBudget } from "./byte_budget.ts";
import { byteLimits } from "./byte_limits.ts";
import { HeldBytes } from "./held_bytes.ts";

/** What bodies hold at an entry, limited over all connections. */
export class BodyMemory {
  /** Unfinished events and bodies of responses, without a stated length. */
  readonly held = new HeldBytes();
  /** Complete ones of those while callers read them. */
  readonly unread = new HeldBytes(byteLimits.unread);
  /** Bodies of responses that state their length. */
  readonly withLength: ByteBudget;
  /** Bodies of callers' requests. */
  readonly requests: ByteBudget;

  constructor(clock: Pick<Clock, "steady">) {
    this.withLength = new ByteBudget({
      limit: byteLimits.heldWithLength,
      largeBytes: byteLimits.heldWithLength,
      clock,
    });
    this.requests = new ByteBudget({
      limit: byteLimits.requests,
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
