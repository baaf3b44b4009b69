import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type Clock,
  createFault,
  type Fault,
  type Milliseconds,
  RateLimiter,
  timerDelay,
} from "@heroncleat/base";
import { Result } from "true-myth/result";
import type { ByteBudget, ByteHold } from "./byte_budget.ts";
import { ByteCollector } from "./byte_collector.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";

const MIN_RETRY_AFTER: Milliseconds = 100;
/** A body may have one more chunk for each of these bytes. */
const BYTES_PER_CHUNK = 16;
/** Rate limit of the lines about refused bodies. */
const LINES_PER_SECOND = 5;
const LINE_BURST = 20;

type ReaderOptions = {
  /** Name of the interface in metrics. */
  readonly name: string;
  /** What the bodies of all requests hold. */
  readonly budget: ByteBudget;
  /** Time from the head of a request to the end of its body. */
  readonly timeout: Milliseconds;
  /** Chunks that a body may have, whatever its size. */
  readonly maxChunks: number;
  readonly clock: Pick<Clock, "steady">;
  readonly log: Log;
  readonly metrics: Pick<Metrics, "increment">;
};

type BodyOptions = {
  /** The bytes are held until it is closed. */
  readonly response: ServerResponse;
  /** Largest body, in bytes. */
  readonly maxBytes: number;
};

type Refusal = {
  readonly reason: "too_large" | "chunks" | "no_room" | "late" | "ended";
  readonly fault: Fault;
};

/** Reads the bodies of the requests at one interface, within limits. */
export class BodyReader {
  readonly #options: ReaderOptions;
  readonly #lines = new RateLimiter(LINES_PER_SECOND, LINE_BURST);
  /** Gives up the bodies that are incomplete; the oldest comes first. */
  readonly #incomplete = new Set<(refusal: Refusal) => void>();
  #unloggedCount = 0;

  constructor(options: ReaderOptions) {
    this.#options = options;
  }

  /** Reads a body, or returns the reason for which its request is refused. */
  read(
    request: IncomingMessage,
    { response, maxBytes }: BodyOptions,
  ): Promise<Result<Buffer, Fault>> {
    const { budget, timeout } = this.#options;
    const declared = Number(request.headers["content-length"] ?? 0);
    if (declared > maxBytes) {
      const refusal = createTooLargeRefusal(maxBytes);
      return Promise.resolve(this.#refuse(refusal, { bytes: 0, chunks: 0 }));
    }
    const hold = budget.tryHold(declared);
    if (hold === undefined) {
      const refusal = this.#createNoRoomRefusal(declared);
      return Promise.resolve(this.#refuse(refusal, { bytes: 0, chunks: 0 }));
    }
    response.once("close", () => hold.release());
    return new Promise((resolve) => {
      const collector = new ByteCollector();
      let chunks = 0;
      const stop = () => {
        clearTimeout(timer);
        this.#incomplete.delete(refuse);
        request.off("data", onData);
      };
      const refuse = (refusal: Refusal) => {
        if (!this.#incomplete.has(refuse)) {
          return;
        }
        stop();
        const bytes = collector.length;
        collector.clear();
        hold.release();
        resolve(this.#refuse(refusal, { bytes, chunks }));
      };
      const onData = (chunk: Buffer) => {
        chunks += 1;
        collector.append(chunk);
        const refusal = this.#check(collector.length, {
          chunks,
          declared,
          maxBytes,
          hold,
        });
        if (refusal !== undefined) {
          refuse(refusal);
        }
      };
      // Timers run before bytes are read that arrived during a pause of the
      // process.
      const timer = setTimeout(
        () => setImmediate(() => refuse(createLateRefusal())),
        timerDelay(timeout),
      );
      this.#incomplete.add(refuse);
      request.on("data", onData);
      request.once("end", () => {
        if (this.#incomplete.has(refuse)) {
          stop();
          resolve(Result.ok(collector.take()));
        }
      });
      request.once("error", () => refuse(createEndedRefusal()));
      request.once("close", () => refuse(createEndedRefusal()));
    });
  }

  /**
   * Refuses the request whose body has been incomplete for longest. Returns
   * whether there was one.
   */
  giveUpOldest(): boolean {
    const [refuse] = this.#incomplete;
    refuse?.(this.#createNoRoomRefusal(0));
    return refuse !== undefined;
  }

  #check(
    bytes: number,
    { chunks, declared, maxBytes, hold }: {
      chunks: number;
      declared: number;
      maxBytes: number;
      hold: ByteHold;
    },
  ): Refusal | undefined {
    if (bytes > maxBytes) {
      return createTooLargeRefusal(maxBytes);
    }
    const maxChunks = this.#options.maxChunks + bytes / BYTES_PER_CHUNK;
    if (declared === 0 && chunks > maxChunks) {
      return createChunksRefusal(this.#options.maxChunks);
    }
    if (bytes > declared && !hold.resize(bytes)) {
      return this.#createNoRoomRefusal(bytes);
    }
    return undefined;
  }

  #createNoRoomRefusal(bytes: number): Refusal {
    const expectedWait = this.#options.budget.expectedWait(bytes);
    return {
      reason: "no_room",
      fault: createFault(
        "overloaded",
        "This process has no room for the body beside those of other " +
          "requests. Remedy: retry after the time in Retry-After, or at " +
          "another one.",
        { retryAfter: Math.max(MIN_RETRY_AFTER, expectedWait) },
      ),
    };
  }

  #refuse(
    { reason, fault }: Refusal,
    counts: { bytes: number; chunks: number },
  ): Result<Buffer, Fault> {
    const { name, clock, log, metrics, budget } = this.#options;
    metrics.increment(`bodies.refused.${name}.${reason}`);
    if (!this.#lines.tryConsume(clock.steady())) {
      this.#unloggedCount += 1;
      return Result.err(fault);
    }
    log.info("Refused a body", {
      interface: name,
      reason,
      ...counts,
      held: budget.held,
      unloggedBefore: this.#unloggedCount,
    });
    this.#unloggedCount = 0;
    return Result.err(fault);
  }
}

function createTooLargeRefusal(maxBytes: number): Refusal {
  return {
    reason: "too_large",
    fault: createFault(
      "too_large",
      `The body is larger than ${maxBytes} bytes. Remedy: send a shorter one ` +
        "or raise entry.max_body_bytes.",
    ),
  };
}

function createChunksRefusal(maxChunks: number): Refusal {
  return {
    reason: "chunks",
    fault: createFault(
      "bad_request",
      `The body has more than ${maxChunks} chunks and one for each ` +
        `${BYTES_PER_CHUNK} bytes. Remedy: send larger chunks, or state ` +
        "Content-Length.",
    ),
  };
}

function createLateRefusal(): Refusal {
  return {
    reason: "late",
    fault: createFault(
      "timeout",
      "The body wasn't complete in time. Remedy: send it without pauses; " +
        "operators raise entry.header_timeout.",
    ),
  };
}

function createEndedRefusal(): Refusal {
  return {
    reason: "ended",
    fault: createFault(
      "bad_request",
      "The body ended early. Remedy: send as many bytes as Content-Length says.",
    ),
  };
}
