import { request } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { testHeaderNames as names } from "../gateway/test_header_names.ts";

const HOST_NAME = "inn.example";
const RETURN_DELAY_MS = 30;
const MAX_TRIES = 5;

/** What one try of a stream brought. */
type StreamTry = {
  /** When it was sent, by `performance.now()`. */
  readonly sentAt: number;
  readonly status: number;
  /** Identifier and version of each event. */
  readonly events: readonly { readonly id: number; readonly version: string }[];
  readonly isWhole: boolean;
  readonly firstEventAfter: number;
  readonly took: number;
};

/** What a caller received over all tries of one stream. */
export type PlayedStream = {
  readonly tries: readonly StreamTry[];
  readonly versions: ReadonlySet<string>;
  readonly hasBegun: boolean;
  readonly isWhole: boolean;
  /** Whether events are missing, or came twice. */
  readonly isInOrder: boolean;
};

let streamCount = 0;
let attemptCount = 0;

/**
 * Requests a stream and resumes it at other entries, until it is whole.
 *
 * @param listEntries Addresses (host:port) of the entries for each try.
 */
export async function playStream(
  listEntries: () => readonly string[],
  {
    resumes,
    path = "/",
    returnDelay = RETURN_DELAY_MS,
    maxTries = MAX_TRIES,
  }: {
    resumes: boolean;
    path?: string | undefined;
    /** Pause before the next try, in milliseconds. */
    returnDelay?: number;
    maxTries?: number;
  },
): Promise<PlayedStream> {
  streamCount += 1;
  const target = `${path}${streamCount}`;
  const tries: StreamTry[] = [];
  let origin: string | undefined;
  let last = 0;
  let previous = "";
  while (tries.length < maxTries) {
    const entries = listEntries().filter((entry) => entry !== previous);
    const entry = entries[Math.floor(Math.random() * entries.length)]!;
    previous = entry;
    attemptCount += 1;
    const attempt = `a${attemptCount}`;
    const played = await tryStream(entry, {
      attempt,
      origin,
      last,
      path: target,
    });
    tries.push(played);
    if (origin === undefined && played.events.length > 0) {
      origin = attempt;
    }
    last = played.events.at(-1)?.id ?? last;
    if (played.isWhole || !resumes) {
      break;
    }
    await pause(returnDelay);
  }
  const events = tries.flatMap((one) => one.events);
  return {
    tries,
    versions: new Set(events.map(({ version }) => version)),
    hasBegun: events.length > 0,
    isWhole: tries.at(-1)!.isWhole,
    isInOrder: events.every(({ id }, at) => id === at + 1),
  };
}

function tryStream(
  entry: string,
  { attempt, origin, last, path }: {
    attempt: string;
    origin: string | undefined;
    last: number;
    path: string;
  },
): Promise<StreamTry> {
  const [host, port] = entry.split(":");
  const sentAt = performance.now();
  return new Promise((resolve) => {
    let text = "";
    let status = 0;
    let firstEventAfter = NaN;
    const finish = (isWhole: boolean) =>
      resolve({
        sentAt,
        status,
        events: parseEvents(text),
        isWhole,
        firstEventAfter,
        took: performance.now() - sentAt,
      });
    const outgoing = request({
      host,
      port,
      path,
      agent: false,
      headers: {
        host: HOST_NAME,
        [names.attempt]: attempt,
        ...(origin === undefined ? {} : {
          [names.resumes]: origin,
          [names.lastEvent]: String(last),
        }),
      },
    }, (response) => {
      status = response.statusCode!;
      response.on("data", (chunk) => {
        text += chunk;
        firstEventAfter = Number.isNaN(firstEventAfter)
          ? performance.now() - sentAt
          : firstEventAfter;
      });
      response.on("end", () => finish(response.complete && status === 200));
      response.on("error", () => finish(false));
    });
    outgoing.on("error", () => finish(false));
    outgoing.end();
  });
}

function parseEvents(text: string): StreamTry["events"] {
  const events = text.matchAll(/id: (\d+)\ndata: (\S+)\n\n/g);
  return [...events].map(([, id, version]) => ({
    id: Number(id),
    version: version!,
  }));
}
