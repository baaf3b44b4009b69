import type { ClientRequest, IncomingMessage } from "node:http";
import { byteLimits } from "./byte_limits.ts";
import { EndlessBytes } from "./endless_bytes.ts";
import { EndlessShape } from "./endless_shape.ts";
import type { ExceededLimit } from "./exceeded_limit.ts";
import { ResponseMeter } from "./response_meter.ts";

/**
 * Closes the connection of a request once its response exceeds a limit on heads
 * or framing. Must be called when there is a connection, before the request is
 * sent.
 */
export function limitResponse(outgoing: ClientRequest): void {
  const socket = outgoing.socket!;
  const before = socket.bytesRead;
  const meter = new ResponseMeter();
  let response: IncomingMessage | undefined;
  let headTimer: NodeJS.Timeout | undefined;
  let isBetweenHeads = false;
  const closeAt = (exceeded: ExceededLimit | undefined): void => {
    if (exceeded === undefined || socket.destroyed) {
      return;
    }
    const error = new EndlessBytes(exceeded);
    if (response === undefined) {
      outgoing.destroy(error);
    } else {
      response.destroy(error);
    }
  };
  // After a pause of the process, timers run before bytes that have arrived are
  // read, so this is called once they are.
  const closeSlowHead = (): void => {
    if (headTimer !== undefined) {
      closeAt({
        shape: EndlessShape.slowHead,
        bytes: socket.bytesRead - before,
        limit: byteLimits.headTime,
      });
    }
  };
  // Called after Node's parser has read the same bytes.
  const onData = (): void => {
    closeAt(meter.check(socket.bytesRead - before));
    if (response === undefined && !isBetweenHeads) {
      headTimer ??= setTimeout(
        () => setImmediate(closeSlowHead),
        byteLimits.headTime,
      );
    }
    isBetweenHeads = false;
  };
  const stopTimer = (): void => {
    clearTimeout(headTimer);
    headTimer = undefined;
  };
  socket.on("data", onData);
  outgoing.on("information", () => {
    stopTimer();
    isBetweenHeads = true;
    closeAt(meter.recordInformationalHead(socket.bytesRead - before));
  });
  outgoing.prependOnceListener("response", (message) => {
    stopTimer();
    response = message;
    meter.recordHead();
    countBody(message, (bytes) => meter.recordBody(bytes));
  });
  outgoing.once("close", () => {
    stopTimer();
    socket.off("data", onData);
  });
}

/**
 * Counts the bytes of a body as the parser delivers them. Those that are read
 * lag behind while the reader is slow.
 */
function countBody(
  message: IncomingMessage,
  onBytes: (bytes: number) => void,
): void {
  const push = message.push;
  message.push = (chunk: Buffer | null, encoding) => {
    onBytes(chunk?.length ?? 0);
    return push.call(message, chunk, encoding);
  };
}
