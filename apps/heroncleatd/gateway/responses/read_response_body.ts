import type { IncomingMessage } from "node:http";
import { ByteCollector } from "../../common/byte_collector.ts";
import { byteLimits } from "../../common/byte_limits.ts";
import { EndlessBytes } from "../../common/endless_bytes.ts";
import { EndlessShape } from "../../common/endless_shape.ts";
import type { ExceededLimit } from "../../common/exceeded_limit.ts";
import type { HeldBytes } from "../../common/held_bytes.ts";

type ReadOptions = {
  /** Largest body, in bytes. */
  readonly limit?: number;
  /** Counts the bodies that aren't counted elsewhere. */
  readonly held?: HeldBytes | undefined;
  /** Whether bodies that state their length are counted elsewhere. */
  readonly isLengthCounted?: boolean;
};

/**
 * Reads the body of an upstream's response; undefined unless it is complete.
 * One that exceeds a limit is destroyed with `EndlessBytes`.
 */
export function readResponseBody(
  message: IncomingMessage,
  { limit = byteLimits.body, held, isLengthCounted = false }: ReadOptions = {},
): Promise<Buffer | undefined> {
  // It may have failed in the same read as its head, before anyone listened.
  if (message.destroyed) {
    return Promise.resolve(undefined);
  }
  const stated = message.headers["content-length"];
  const collector = new ByteCollector();
  const giveUp = (exceeded: ExceededLimit) => {
    collector.clear();
    message.destroy(new EndlessBytes(exceeded));
  };
  return new Promise((resolve) => {
    const settle = (body: Buffer | undefined) => {
      held?.release(giveUp);
      resolve(body);
    };
    message.on("data", (chunk: Buffer) => {
      if (message.destroyed) {
        return;
      }
      collector.append(chunk);
      const bytes = collector.length;
      if (bytes > limit) {
        giveUp({ shape: EndlessShape.body, bytes, limit });
      } else if (stated === undefined || !isLengthCounted) {
        held?.hold(giveUp, bytes);
      }
    });
    message.once(
      "end",
      () => settle(message.complete ? collector.take() : undefined),
    );
    message.on("error", () => settle(undefined));
    message.once("close", () => settle(undefined));
    if (Number(stated) > limit && !isBodiless(message)) {
      giveUp({ shape: EndlessShape.body, bytes: Number(stated), limit });
    }
  });
}

/** Whether a length is stated that no body follows. */
function isBodiless(message: IncomingMessage): boolean {
  const { req } = message as IncomingMessage & { req?: { method?: string } };
  return req?.method === "HEAD" || message.statusCode === 304;
}
