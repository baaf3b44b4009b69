import type { ServerResponse } from "node:http";
import type { Milliseconds, Random } from "@heroncleat/base";
import { pause } from "./pause.ts";

/** How the end of a response is marked. */
const FRAMINGS = ["length", "chunks", "connection"] as const;
const PART_PAUSE: Milliseconds = 15;

type Breakage = {
  /** Bytes that are sent before. */
  readonly after: number;
  readonly how: "closed" | "reset";
};

/**
 * Sends a response in a random framing, part after part, and breaks some off at
 * any byte. Resolves once the response has ended.
 *
 * @returns Whether it was sent as a whole.
 * @param head Status and headers without those of the framing.
 */
export async function sendSoakResponse(
  response: ServerResponse,
  { status, headers, parts, brokenShare, partPause = PART_PAUSE }: {
    status: number;
    headers: Readonly<Record<string, string>>;
    parts: readonly string[];
    /** Share of the responses that are broken off. */
    brokenShare: number;
    partPause?: Milliseconds | undefined;
  },
  random: Random,
): Promise<boolean> {
  const framing = FRAMINGS[Math.floor(random() * FRAMINGS.length)]!;
  const size = parts.join("").length;
  const breakage: Breakage | undefined = random() < brokenShare
    ? {
      after: Math.floor(random() * size),
      how: random() < 0.5 ? "closed" : "reset",
    }
    : undefined;
  if (framing === "length") {
    response.setHeader("content-length", size);
  } else if (framing === "connection") {
    response.shouldKeepAlive = false;
    response.removeHeader("transfer-encoding");
  }
  response.writeHead(status, headers);
  response.flushHeaders();
  let left = breakage?.after ?? Infinity;
  for (const [index, part] of parts.entries()) {
    if (index > 0) {
      await pause(partPause);
    }
    response.write(part.slice(0, left));
    left -= part.length;
    if (left < 0) {
      await pause(PART_PAUSE);
      breakOff(response, breakage!.how);
      return false;
    }
  }
  response.end();
  return true;
}

function breakOff(response: ServerResponse, how: Breakage["how"]): void {
  if (how === "reset") {
    response.socket?.resetAndDestroy();
  } else {
    response.socket?.end();
  }
}
