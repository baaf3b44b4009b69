import type { IncomingMessage } from "node:http";
import type { Clock } from "@heroncleat/base";
import { EndlessBytes } from "../../common/endless_bytes.ts";
import type { ExceededLimit } from "../../common/exceeded_limit.ts";
import type { HeldBytes } from "../../common/held_bytes.ts";
import type { EventSplitter } from "./event_splitter.ts";
import { StreamLimits } from "./stream_limits.ts";

type CompleteEvents = NonNullable<ReturnType<EventSplitter["push"]>>;

/**
 * Limits the events of a response. Returns a function that must be called after
 * each read; it destroys the response once a limit is exceeded.
 *
 * @param options.isProgress Whether complete events let the stream go on.
 */
export function limitEvents(
  message: IncomingMessage,
  { splitter, isProgress, heldBytes, clock }: {
    splitter: EventSplitter;
    isProgress: (events: CompleteEvents) => boolean;
    heldBytes: HeldBytes;
    clock: Pick<Clock, "steady">;
  },
): (events: CompleteEvents | undefined) => void {
  const limits = new StreamLimits(clock.steady());
  const giveUp = (exceeded: ExceededLimit) => {
    heldBytes.release(giveUp);
    message.destroy(new EndlessBytes(exceeded));
  };
  message.once("close", () => heldBytes.release(giveUp));
  message.once("end", () => heldBytes.release(giveUp));
  return (events) => {
    if (message.destroyed) {
      return;
    }
    const exceeded = limits.check({
      passedOn: events?.bytes.length ?? 0,
      isProgress: events !== undefined && isProgress(events),
      lineBytes: splitter.lineBytes,
      heldBytes: splitter.heldBytes,
    }, clock.steady());
    if (exceeded === undefined) {
      heldBytes.hold(giveUp, splitter.heldBytes);
    } else {
      giveUp(exceeded);
    }
  };
}
