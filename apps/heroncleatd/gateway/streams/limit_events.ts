import type { IncomingMessage } from "node:http";
import type { Clock } from "@heroncleat/base";
import { EndlessBytes } from "../../common/endless_bytes.ts";
import type { ExceededLimit } from "../../common/exceeded_limit.ts";
import type { HeldBytes } from "../../common/held_bytes.ts";
import type { EventSplitter } from "./event_splitter.ts";
import { StreamLimits } from "./stream_limits.ts";

/**
 * Limits the events of a response. Returns a function that must be called after
 * each read; it destroys the response once a limit is exceeded.
 *
 * @param options.needsIdentifiers Whether only events with a new identifier let
 *     the stream go on.
 */
export function limitEvents(
  message: IncomingMessage,
  { splitter, needsIdentifiers, lastEvent, heldBytes, clock }: {
    splitter: EventSplitter;
    needsIdentifiers: boolean;
    /** Identifier of the last event that was passed on before. */
    lastEvent: () => string | undefined;
    heldBytes: HeldBytes;
    clock: Pick<Clock, "steady">;
  },
): (events: ReturnType<EventSplitter["push"]>) => void {
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
    const hasIdentifier = events?.lastId !== undefined &&
      events.lastId !== lastEvent();
    const exceeded = limits.check({
      passedOn: events?.bytes.length ?? 0,
      isProgress: events?.hasData === true &&
        (hasIdentifier || !needsIdentifiers),
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
