import { ByteCollector } from "../../common/byte_collector.ts";

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const SPACE = 32;
const TAB = 9;
const COLON = 58;
const BYTE_ORDER_MARK = [0xef, 0xbb, 0xbf];
const ID_FIELD = /(?:^\ufeff?|[\r\n])id: ?([^\r\n]*)/g;
const DATA_FIELD = /(?:^\ufeff?|[\r\n])data(?=[:\r\n])/;

/** Complete events of a stream. */
type CompleteEvents = {
  readonly bytes: Buffer;
  /** Identifier of the last one that has any. */
  readonly lastId: string | undefined;
  /** Whether one of them has data. */
  readonly hasData: boolean;
};

/**
 * Splits a `text/event-stream` after its complete events, so that an
 * interrupted stream can be resumed after the last one. The bytes are passed on
 * unchanged.
 */
export class EventSplitter {
  readonly #held = new ByteCollector();
  /** Bytes of the line that isn't complete. */
  #lineBytes = 0;
  /** Bytes scanned so far, as long as a byte order mark may be among them. */
  #position = 0;
  #isAfterCarriageReturn = false;
  #isLineEmpty = true;
  #isComment = false;
  #hasField = false;

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return this.#held.peek();
  }

  /** Bytes that were pushed and not returned. */
  get heldBytes(): number {
    return this.#held.length;
  }

  /** Bytes of the unfinished line. */
  get lineBytes(): number {
    return this.#lineBytes;
  }

  /**
   * Whether the stream is inside an event. Comments, empty lines and white
   * space aren't part of any.
   */
  get isInsideEvent(): boolean {
    return this.#hasField;
  }

  /** Appends bytes and returns the events that are complete now, if any. */
  push(bytes: Buffer): CompleteEvents | undefined {
    const end = this.#scan(bytes);
    if (end === 0) {
      this.#held.append(bytes);
      return undefined;
    }
    const tail = bytes.subarray(0, end);
    const complete = this.#held.length === 0 ? tail : this.#join(tail);
    if (end < bytes.length) {
      this.#held.append(bytes.subarray(end));
    }
    const text = complete.toString("utf8");
    return {
      bytes: complete,
      lastId: findLastEventId(text),
      hasData: DATA_FIELD.test(text),
    };
  }

  #join(tail: Buffer): Buffer {
    this.#held.append(tail);
    return this.#held.take();
  }

  /** Returns the index after the last line end that isn't inside an event. */
  #scan(bytes: Buffer): number {
    let end = 0;
    let lineStart = -this.#lineBytes;
    let at = this.#skipByteOrderMark(bytes);
    for (; at < bytes.length; at += 1) {
      const byte = bytes[at]!;
      const endsSameLine = byte === LINE_FEED && this.#isAfterCarriageReturn;
      this.#isAfterCarriageReturn = byte === CARRIAGE_RETURN;
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) {
        this.#readInLine(byte);
        continue;
      }
      if (!endsSameLine) {
        this.#hasField &&= !this.#isLineEmpty;
        this.#isLineEmpty = true;
        this.#isComment = false;
      }
      lineStart = at + 1;
      if (!this.#hasField) {
        end = at + 1;
      }
    }
    this.#lineBytes = bytes.length - lineStart;
    return end;
  }

  #readInLine(byte: number): void {
    if (this.#isLineEmpty) {
      this.#isLineEmpty = false;
      this.#isComment = byte === COLON;
    }
    if (!this.#isComment && byte !== SPACE && byte !== TAB) {
      this.#hasField = true;
    }
  }

  /** Returns the number of bytes that belong to a leading byte order mark. */
  #skipByteOrderMark(bytes: Buffer): number {
    let at = 0;
    while (
      at < bytes.length && this.#position < BYTE_ORDER_MARK.length &&
      bytes[at] === BYTE_ORDER_MARK[this.#position]
    ) {
      at += 1;
      this.#position += 1;
    }
    if (at < bytes.length) {
      this.#position = BYTE_ORDER_MARK.length;
    }
    return at;
  }
}

function findLastEventId(events: string): string | undefined {
  let last: string | undefined;
  for (const match of events.matchAll(ID_FIELD)) {
    last = match[1];
  }
  return last;
}
