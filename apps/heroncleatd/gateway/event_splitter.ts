const LINE_FEED = 10;
const ID_FIELD = /(?:^|\n)id: ?([^\r\n]*)/g;

/**
 * Complete events of a stream, and the identifier of the last one that has any.
 */
type CompleteEvents = {
  readonly bytes: Buffer;
  readonly count: number;
  readonly lastId: string | undefined;
};

/**
 * Splits a `text/event-stream` after its complete events, so that an
 * interrupted stream can be resumed after the last one. The bytes are passed on
 * unchanged.
 */
export class EventSplitter {
  #remainder: Buffer = Buffer.alloc(0);

  /** Bytes of an incomplete event. */
  get remainder(): Buffer {
    return this.#remainder;
  }

  /** Appends bytes and returns the events that are complete now, if any. */
  push(bytes: Buffer): CompleteEvents | undefined {
    const all = this.#remainder.length === 0
      ? bytes
      : Buffer.concat([this.#remainder, bytes]);
    const { end, count } = findLastEventEnd(all);
    this.#remainder = all.subarray(end);
    if (count === 0) {
      return undefined;
    }
    const complete = all.subarray(0, end);
    return { bytes: complete, count, lastId: findLastEventId(complete) };
  }
}

/** Finds the end of the last complete event. An event ends at an empty line. */
function findLastEventEnd(bytes: Buffer): { end: number; count: number } {
  let end = 0;
  let count = 0;
  let at = bytes.indexOf(LINE_FEED);
  while (at !== -1) {
    const next = bytes[at + 1] === 13 ? at + 2 : at + 1;
    if (bytes[next] === LINE_FEED) {
      end = next + 1;
      count += 1;
      at = bytes.indexOf(LINE_FEED, end);
    } else {
      at = bytes.indexOf(LINE_FEED, at + 1);
    }
  }
  return { end, count };
}

function findLastEventId(events: Buffer): string | undefined {
  let last: string | undefined;
  for (const match of events.toString("utf8").matchAll(ID_FIELD)) {
    last = match[1];
  }
  return last;
}
