const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const SPACE = 32;
const TAB = 9;
const COLON = 58;
const BYTE_ORDER_MARK = [0xef, 0xbb, 0xbf];
const ID_FIELD = /(?:^\ufeff?|[\r\n])id: ?([^\r\n]*)/g;

/**
 * Complete events of a stream, and the identifier of the last one that has any.
 */
type CompleteEvents = {
  readonly bytes: Buffer;
  readonly lastId: string | undefined;
};

/**
 * Splits a `text/event-stream` after its complete events, so that an
 * interrupted stream can be resumed after the last one. The bytes are passed on
 * unchanged.
 */
export class EventSplitter {
  #held: Buffer[] = [];
  /** Bytes scanned so far, as long as a byte order mark may be among them. */
  #position = 0;
  #isAfterCarriageReturn = false;
  #isLineEmpty = true;
  #isComment = false;
  #hasField = false;

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return Buffer.concat(this.#held);
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
      this.#held.push(bytes);
      return undefined;
    }
    const tail = bytes.subarray(0, end);
    const complete = this.#held.length === 0
      ? tail
      : Buffer.concat([...this.#held, tail]);
    this.#held = end === bytes.length ? [] : [bytes.subarray(end)];
    return { bytes: complete, lastId: findLastEventId(complete) };
  }

  /** Returns the index after the last line end that isn't inside an event. */
  #scan(bytes: Buffer): number {
    let end = 0;
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
      if (!this.#hasField) {
        end = at + 1;
      }
    }
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

function findLastEventId(events: Buffer): string | undefined {
  let last: string | undefined;
  for (const match of events.toString("utf8").matchAll(ID_FIELD)) {
    last = match[1];
  }
  return last;
}
