import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Milliseconds } from "@heroncleat/base";
import { delayClose } from "./delay_close.ts";
import { ReadOutcome } from "./read_outcome.ts";
import type { ReadQueue } from "./read_queue.ts";
import { unparsedConnections } from "./unparsed_connections.ts";

/** Bytes that are parsed before the time is looked at. */
const SLICE_BYTES = 1024;
/** The same inside a body whose last bytes took little time. */
const LARGE_SLICE_BYTES = 16 * 1024;
/** Time that the parsing of a slice takes unless it holds many chunks. */
const SLICE_TIME: Milliseconds = 0.2;
/**
 * Time after which a connection waits until others have had their turn. Plain
 * bodies take some 0.1 ms for each read.
 */
const TURN_TIME: Milliseconds = 0.5;
/** Requests of one connection beyond which the next ones aren't parsed yet. */
const MAX_PIPELINED = 4;

/**
 * Chunks of a body that may wait for their reader. Node.js limits the bytes that
 * wait, but each chunk of some bytes takes some hundred.
 */
const MAX_UNREAD_CHUNKS = 256;
/** Time after which it is checked whether they have been read. */
const UNREAD_CHECK_TIME: Milliseconds = 20;

/** Time in which a caller can read its responses before a reset. */
const CLOSE_DELAY: Milliseconds = 2000;

/** The bytes of one connection of an HTTP server that wait to be parsed. */
export class PacedRead {
  readonly #socket: Socket;
  readonly #queue: ReadQueue;
  readonly #push: Socket["push"];
  #rest: Buffer | undefined;
  /** Whether the last slice took little time. */
  #isFast = false;
  /** Whether bytes wait until a response has ended. */
  #isHeld = false;
  /** Whether nothing more is read. */
  #isStopped = false;
  #requests = 0;
  #lastRequest: IncomingMessage | undefined;
  /** Bytes left of the last request's body if it states its length. */
  #bodyLeft = 0;
  /** Chunks of the last request's body that weren't read when it came. */
  #unreadChunks = 0;
  #unreadTimer: NodeJS.Timeout | undefined;

  /** @param socket Must have been given to the HTTP server before. */
  constructor(socket: Socket, queue: ReadQueue) {
    this.#socket = socket;
    this.#queue = queue;
    this.#push = socket.push.bind(socket);
    const read = socket._read.bind(socket);
    socket.push = (bytes: Buffer | null) => this.#take(bytes);
    socket._read = (size) => {
      if (this.#rest === undefined) {
        // Also while a request is in progress, to notice that its caller leaves.
        read(size);
      } else {
        queue.add(this.#parseRest);
      }
    };
    socket.once("close", () => {
      this.#setRest(undefined);
      queue.remove(this.#parseRest);
      clearTimeout(this.#unreadTimer);
    });
    // Without a listener Node's parser reads from the system's handle by itself.
    socket.on("data", () => {});
  }

  recordRequest(incoming: IncomingMessage): void {
    this.#requests += 1;
    this.#lastRequest = incoming;
    this.#bodyLeft = Number(incoming.headers["content-length"] ?? 0);
    this.#unreadChunks = 0;
    const push = incoming.push.bind(incoming);
    incoming.push = (chunk: Buffer | null) => {
      this.#bodyLeft -= chunk?.length ?? 0;
      this.#unreadChunks = incoming.readableLength === 0
        ? 1
        : this.#unreadChunks + 1;
      return push(chunk);
    };
  }

  /** Records the end of a response, or of its connection. */
  recordResponse(): void {
    this.#requests -= 1;
    if (this.#requests === 0) {
      // Node.js drops the rest of the body.
      this.#bodyLeft = 0;
    }
    if (this.#isStopped && !this.#hasWork) {
      this.#socket.destroySoon();
      return;
    }
    if (this.#isHeld && !this.#isBusy) {
      this.#isHeld = false;
      this.#queue.add(this.#parseRest);
    }
  }

  /**
   * Parses the first bytes of a request that waits behind none. Until then
   * Node.js takes its connection for idle.
   */
  beginRequest(): void {
    const bytes = this.#rest;
    if (this.#requests > 0 || bytes === undefined) {
      return;
    }
    const rest = bytes.subarray(SLICE_BYTES);
    this.#setRest(rest.length > 0 ? rest : undefined);
    this.#push(bytes.subarray(0, SLICE_BYTES));
  }

  /** Whether what follows is another request, and too many wait already. */
  get #isBusy(): boolean {
    return this.#requests >= MAX_PIPELINED &&
      this.#lastRequest?.complete === true;
  }

  /** Whether complete requests have no complete response. */
  get #hasWork(): boolean {
    const incomplete = this.#lastRequest?.complete === false ? 1 : 0;
    return this.#requests > incomplete;
  }

  /** Whether the chunks of a body must be read before more are parsed. */
  get #isUnread(): boolean {
    return this.#unreadChunks >= MAX_UNREAD_CHUNKS &&
      (this.#lastRequest?.readableLength ?? 0) > 0;
  }

  /** Takes bytes from the system; returns whether more are wanted now. */
  #take(bytes: Buffer | null): boolean {
    if (bytes === null) {
      return this.#push(bytes);
    }
    if (bytes.length > SLICE_BYTES && !this.#queue.hasRoom) {
      this.#refuse();
      return false;
    }
    this.#setRest(bytes);
    if (this.#isBusy || this.#isUnread) {
      this.#hold();
      return false;
    }
    if (bytes.length > SLICE_BYTES && !this.#queue.isEmpty) {
      this.#queue.add(this.#parseRest);
      return false;
    }
    return this.#parse(bytes);
  }

  /** Drops bytes for which there is no room, and reads nothing more. */
  #refuse(): void {
    if (!this.#hasWork) {
      this.#queue.recordRefusal(ReadOutcome.closed);
      this.#socket.destroy();
      return;
    }
    this.#queue.recordRefusal(ReadOutcome.stopped);
    this.#isStopped = true;
    delayClose(this.#socket, CLOSE_DELAY);
  }

  readonly #parseRest = (): void => {
    if (this.#isBusy || this.#isUnread) {
      this.#hold();
    } else if (this.#rest !== undefined) {
      this.#parse(this.#rest);
    }
  };

  #hold(): void {
    if (this.#isBusy) {
      this.#isHeld = true;
      return;
    }
    this.#unreadTimer = setTimeout(
      () => this.#queue.add(this.#parseRest),
      UNREAD_CHECK_TIME,
    );
  }

  #parse(bytes: Buffer): boolean {
    const startedAt = performance.now();
    let sliceAt = startedAt;
    let from = 0;
    let isWanted = true;
    while (
      from < bytes.length && isWanted && !this.#isBusy &&
      !this.#isUnread && !this.#socket.destroyed &&
      sliceAt - startedAt < TURN_TIME
    ) {
      const end = from + this.#sliceBytes;
      this.#setRest(end < bytes.length ? bytes.subarray(end) : undefined);
      isWanted = this.#push(bytes.subarray(from, end));
      from = end;
      const now = performance.now();
      this.#isFast = now - sliceAt < SLICE_TIME;
      sliceAt = now;
    }
    // The next bytes are read once these have been parsed.
    return isWanted && this.#rest === undefined;
  }

  get #sliceBytes(): number {
    const isLarge = this.#isFast && this.#lastRequest?.complete === false;
    // What is left of a body of stated length is parsed as one piece.
    return Math.max(
      isLarge ? LARGE_SLICE_BYTES : SLICE_BYTES,
      this.#bodyLeft,
    );
  }

  #setRest(bytes: Buffer | undefined): void {
    this.#queue.countBytes((bytes?.length ?? 0) - (this.#rest?.length ?? 0));
    this.#rest = bytes;
    if (bytes === undefined) {
      unparsedConnections.delete(this.#socket);
    } else {
      unparsedConnections.add(this.#socket);
    }
  }
}
