import { Agent } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import { drawPromptParts } from "./draw_prompt_parts.ts";
import { responseBody } from "./response_body.ts";
import { sendHttpRequest } from "./send_http_request.ts";
import { pause } from "./pause.ts";
import { ReceivedStream } from "./received_stream.ts";
import type { StatementChecks } from "./statement_checks.ts";
import type { StreamChecks } from "./stream_checks.ts";
import type { SoakDocument } from "./soak_document.ts";
import type { ProgramAdapter } from "./program_adapter.ts";

const REQUEST_TIMEOUT: Milliseconds = 3000;
/** Pause between two requests of a caller. */
const REQUEST_PAUSE_MS = { min: 100, spread: 300 };
/** Share of the requests whose response is a stream. */
const STREAM_SHARE = 0.4;
/** Requests on one connection before a caller opens a new one. */
const MAX_REUSES = 30;
/** Age at which a caller refreshes its list of entries. */
const MAX_LIST_AGE: Milliseconds = 2000;

/** Tries of a stream that breaks off, and the pause between two of them. */
const MAX_STREAM_TRIES = 4;
const RETURN_DELAY_MS = { min: 30, spread: 400 };

/** Share of resumable streams of which a caller loses the connection. */
const CLOSED_SHARE = 0.3;
const CLOSED_WITHIN_BYTES = 200;

/** One try of a caller. */
type CallerAttempt = {
  readonly attempt: string;
  readonly path: string;
  readonly isNonIdempotent: boolean;
  /** The stream that it begins or resumes; undefined for other requests. */
  readonly stream?: ReceivedStream;
};

/** Outcome of one request. */
export type RequestOutcome = {
  readonly attempt: string;
  readonly isNonIdempotent: boolean;
  readonly status: number;
  /** Address of the entry, and when the request was sent. */
  readonly entry: string;
  readonly sentAt: Milliseconds;
  /** Time in which the caller wants its answer. */
  readonly timeLeft: Milliseconds;
  /** Why the response can't belong to this request; undefined if it can. */
  readonly problem: string | undefined;
};

type CallerOptions = {
  readonly name: string;
  readonly zone: string;
  /** Whether it keeps its connection until the entry closes it. */
  readonly isSticky: boolean;
  readonly adapter: ProgramAdapter;
  readonly document: () => SoakDocument;
  /** Addresses at which entries can be looked up. */
  readonly listLookups: () => readonly string[];
  readonly random: () => number;
  readonly onOutcome: (outcome: RequestOutcome) => void;
  readonly streams: StreamChecks;
  readonly statements: StatementChecks;
};

/**
 * A caller that sends one request at a time and reuses its connection until it
 * breaks. Unless it is sticky, it also leaves an entry that is no longer listed,
 * and opens a new connection once the reuse limit is reached.
 */
export class SoakCaller {
  readonly #options: CallerOptions;
  #isStopped = false;
  #agent: Agent | undefined;
  #entry = "";
  #reuses = 0;
  #entries: readonly string[] = [];
  #listedAt: Milliseconds = -Infinity;
  #requestCount = 0;

  constructor(options: CallerOptions) {
    this.#options = options;
  }

  /** Sends requests until it is stopped. */
  async run(): Promise<void> {
    const { random } = this.#options;
    while (!this.#isStopped) {
      await this.#refreshEntries();
      if (this.#connect()) {
        await this.#sendRequest();
      }
      await pause(REQUEST_PAUSE_MS.min + random() * REQUEST_PAUSE_MS.spread);
    }
    this.#agent?.destroy();
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #refreshEntries(): Promise<void> {
    const { listLookups, random, adapter, zone, document } = this.#options;
    if (performance.now() - this.#listedAt < MAX_LIST_AGE) {
      return;
    }
    const lookups = listLookups();
    const at = lookups[Math.floor(random() * lookups.length)];
    if (at === undefined) {
      return;
    }
    const reply = await sendHttpRequest(at, {
      method: "GET",
      path: adapter.lookup({ host: document().host, zone }),
      timeout: 1000,
    });
    if (reply.status === 200) {
      this.#entries = adapter.parseAddresses(reply.body);
      this.#listedAt = performance.now();
    }
    if (!this.#options.isSticky && !this.#entries.includes(this.#entry)) {
      this.#disconnect();
    }
  }

  /** @returns Whether an entry is known. */
  #connect(): boolean {
    this.#reuses += 1;
    const mayReuse = this.#options.isSticky || this.#reuses <= MAX_REUSES;
    if (this.#agent !== undefined && mayReuse) {
      return true;
    }
    this.#disconnect();
    const at = Math.floor(this.#options.random() * this.#entries.length);
    this.#entry = this.#entries[at] ?? "";
    if (this.#entry === "") {
      return false;
    }
    this.#agent = new Agent({ keepAlive: true, maxSockets: 1 });
    this.#reuses = 0;
    return true;
  }

  #disconnect(): void {
    this.#agent?.destroy();
    this.#agent = undefined;
  }

  async #sendRequest(): Promise<void> {
    const { name } = this.#options;
    const { prefix, isNonIdempotent, isStream } = this.#pickKind();
    this.#requestCount += 1;
    const attempt = `${name}-${this.#requestCount}`;
    const path = `${prefix}${attempt}`;
    if (!isStream) {
      await this.#try({ attempt, path, isNonIdempotent });
    } else {
      await this.#receiveStream({ attempt, path, isNonIdempotent });
    }
  }

  /** Requests a stream and, if it may be resumed, does so at other entries. */
  async #receiveStream(
    { attempt, path, isNonIdempotent }: CallerAttempt,
  ): Promise<void> {
    const { streams, random } = this.#options;
    const stream = new ReceivedStream(path);
    await this.#try({ attempt, path, isNonIdempotent, stream });
    streams.recordBegin({
      entry: this.#entry,
      hasBegun: stream.origin !== undefined,
    });
    let tries = 1;
    while (
      !isNonIdempotent && !stream.isWhole && stream.origin !== undefined &&
      tries < MAX_STREAM_TRIES && !this.#isStopped
    ) {
      tries += 1;
      await pause(RETURN_DELAY_MS.min + random() * RETURN_DELAY_MS.spread);
      this.#disconnect();
      if (this.#connect()) {
        const next = `${attempt}-${tries}`;
        const { version, lastId } = stream;
        const endResume = streams.beginResume({
          entry: this.#entry,
          version: version!,
        });
        await this.#try({ attempt: next, path, isNonIdempotent, stream });
        endResume({ wentOn: stream.lastId > lastId });
      }
    }
    streams.recordOutcome(stream.toOutcome());
  }

  async #try(
    { attempt, path, isNonIdempotent, stream }: CallerAttempt,
  ): Promise<void> {
    const { adapter, document, onOutcome, random } = this.#options;
    const { headers } = adapter;
    const entry = this.#entry;
    const sentAt = performance.now();
    this.#options.statements.recordSent(attempt, sentAt);
    const closeAfter = !isNonIdempotent && stream?.origin === undefined &&
        stream !== undefined && random() < CLOSED_SHARE
      ? 1 + random() * CLOSED_WITHIN_BYTES
      : undefined;
    const reply = await sendHttpRequest(entry, {
      method: isNonIdempotent ? "POST" : "GET",
      path,
      body: isNonIdempotent ? "one table for two" : "",
      headers: {
        host: document().host,
        [headers.attempt]: attempt,
        [headers.timeLeft]: String(REQUEST_TIMEOUT),
        ...adapter.promptHeaders(drawPromptParts(random, path)),
        ...(stream?.origin === undefined ? {} : {
          [headers.resumes]: stream.origin,
          [headers.lastEvent]: String(stream.lastId),
        }),
      },
      timeout: REQUEST_TIMEOUT,
      agent: this.#agent!,
      closeAfter,
    });
    const { status } = reply;
    if (status === 0) {
      this.#disconnect();
    }
    const isClosedHere = status === 0 && closeAfter !== undefined;
    const body = "body" in reply ? reply.body : reply.partialBody;
    if (stream !== undefined && (status === 200 || status === 0)) {
      stream.append(body, { attempt });
    }
    const problem = status === 200 && "body" in reply
      ? this.#findProblem(attempt, { ...reply, stream })
      : undefined;
    // What this caller has ended itself says nothing about the entry.
    if (!isClosedHere) {
      const timeLeft = REQUEST_TIMEOUT;
      const tried = { attempt, isNonIdempotent, entry, sentAt, timeLeft };
      onOutcome({ ...tried, status, problem });
    }
  }

  #pickKind() {
    const { document, random } = this.#options;
    const { idempotentPrefix, nonIdempotentPrefix } = document();
    const { resumablePrefix, streamPrefix } = document();
    const isStream = random() < STREAM_SHARE;
    const isNonIdempotent = random() < 0.5;
    const prefix = isStream
      ? (isNonIdempotent ? streamPrefix : resumablePrefix)
      : (isNonIdempotent ? nonIdempotentPrefix : idempotentPrefix);
    return { prefix, isNonIdempotent, isStream };
  }

  #findProblem(
    attempt: string,
    reply: {
      body: string;
      headers: Readonly<Record<string, unknown>>;
      isFramed: boolean;
      stream: ReceivedStream | undefined;
    },
  ): string | undefined {
    const { headers } = this.#options.adapter;
    const { body, isFramed, stream } = reply;
    const digest = String(reply.headers[headers.digest] ?? "");
    const expected = responseBody(attempt, digest.replace("by-", ""));
    // Without a length or chunks, nothing tells that a body was cut short, but
    // for a stream that ends inside an event.
    const isWhole = stream === undefined ? body === expected : stream.isWhole;
    const mayBeCut = !isFramed &&
      (stream === undefined
        ? expected.startsWith(body)
        : /(^|\n\n)$/.test(body));
    return isWhole || mayBeCut
      ? undefined
      : `${attempt} got the response "${body}" with the digest ${digest}`;
  }
}
