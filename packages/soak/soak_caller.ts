import { Agent } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import { drawPromptParts } from "./draw_prompt_parts.ts";
import { responseBody } from "./response_body.ts";
import { sendHttpRequest } from "./send_http_request.ts";
import { pause } from "./pause.ts";
import { ReceivedStream } from "./received_stream.ts";
import type { RequestKind } from "./request_kind.ts";
import type { RequestTally } from "./request_tally.ts";
import type { StatementChecks } from "./statement_checks.ts";
import type { StreamChecks } from "./stream_checks.ts";
import type { SoakDocument } from "./soak_document.ts";
import type { ProgramAdapter } from "./program_adapter.ts";
import type { Workload } from "./workload.ts";

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

/** Bytes of a stream within which a caller loses its connection. */
const CLOSED_WITHIN_BYTES = 200;

/** Statuses that say that a request hasn't run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** One try of a caller. */
type CallerAttempt = {
  readonly attempt: string;
  readonly path: string;
  readonly isNonIdempotent: boolean;
  /** The stream that it begins or resumes; undefined for other requests. */
  readonly stream?: ReceivedStream;
};

/** How a try ended for its caller. */
type EndedAttempt = {
  readonly isWhole: boolean;
  /** Whether the request may be sent again from its start. */
  readonly mayRetry: boolean;
  /** When the answer began; undefined without one. */
  readonly answeredAt: Milliseconds | undefined;
};

/** Outcome of one request. */
export type RequestOutcome = {
  readonly attempt: string;
  readonly isNonIdempotent: boolean;
  readonly status: number;
  /** Whether the whole answer arrived. */
  readonly isWhole: boolean;
  /** Whether the entry accepted the connection. */
  readonly hasConnected: boolean;
  /** Address of the entry, and when the request was sent. */
  readonly entry: string;
  readonly sentAt: Milliseconds;
  /** Time in which the caller wants its answer. */
  readonly timeLeft: Milliseconds;
  /** Why the response can't belong to this request; undefined if it can. */
  readonly problem: string | undefined;
};

type EndedRequest = EndedAttempt & { readonly tries: number };

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
  readonly workload: Workload;
  readonly onOutcome: (outcome: RequestOutcome) => void;
  readonly tally: RequestTally;
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
    const { name, tally } = this.#options;
    const { kind, prefix, isNonIdempotent, isStream } = this.#pickKind();
    this.#requestCount += 1;
    const attempt = `${name}-${this.#requestCount}`;
    const path = `${prefix}${attempt}`;
    const startedAt = performance.now();
    const { tries, isWhole, answeredAt } = isStream
      ? await this.#receiveStream({ attempt, path, isNonIdempotent })
      : await this.#call({ attempt, path, isNonIdempotent });
    if (!this.#isStopped) {
      tally.record(kind, {
        tries,
        isServed: isWhole,
        firstByteTime: answeredAt === undefined
          ? undefined
          : answeredAt - startedAt,
      });
    }
  }

  async #call(request: CallerAttempt): Promise<EndedRequest> {
    return await this.#retry(request, await this.#try(request));
  }

  /** Sends a request again at other entries until its answer begins. */
  async #retry(
    request: CallerAttempt,
    first: EndedAttempt,
  ): Promise<EndedRequest> {
    const { random, workload } = this.#options;
    let ended = first;
    let tries = 1;
    while (ended.mayRetry && tries < workload.maxTries && !this.#isStopped) {
      tries += 1;
      await pause(RETURN_DELAY_MS.min + random() * RETURN_DELAY_MS.spread);
      const attempt = `${request.attempt}-${tries}`;
      ended = await this.#try({ ...request, attempt }, this.#pickOther());
    }
    return { ...ended, tries };
  }

  /** Another entry, at which its own connection isn't used. */
  #pickOther(): string {
    const others = this.#entries.filter((entry) => entry !== this.#entry);
    const at = Math.floor(this.#options.random() * others.length);
    return others[at] ?? this.#entry;
  }

  /** Requests a stream and, if it may be resumed, does so at other entries. */
  async #receiveStream(request: CallerAttempt): Promise<EndedRequest> {
    const { attempt, path, isNonIdempotent } = request;
    const { streams, random } = this.#options;
    const stream = new ReceivedStream(path);
    const first = await this.#try({ ...request, stream });
    streams.recordBegin({
      entry: this.#entry,
      hasBegun: stream.origin !== undefined,
    });
    const begun = await this.#retry({ ...request, stream }, first);
    let { tries } = begun;
    const maxTries = tries - 1 + MAX_STREAM_TRIES;
    while (
      !isNonIdempotent && !stream.isWhole && stream.origin !== undefined &&
      tries < maxTries && !this.#isStopped
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
    return { ...begun, tries, isWhole: stream.isWhole };
  }

  /** @param other Entry to use in place of its own, without its connection. */
  async #try(
    { attempt, path, isNonIdempotent, stream }: CallerAttempt,
    other?: string,
  ): Promise<EndedAttempt> {
    const { adapter, document, onOutcome, random, workload } = this.#options;
    const { headers } = adapter;
    const timeLeft = workload.requestTimeout;
    const entry = other ?? this.#entry;
    const sentAt = performance.now();
    this.#options.statements.recordSent(attempt, sentAt);
    const closeAfter = !isNonIdempotent && stream?.origin === undefined &&
        stream !== undefined && random() < workload.closedShare
      ? 1 + random() * CLOSED_WITHIN_BYTES
      : undefined;
    const reply = await sendHttpRequest(entry, {
      method: isNonIdempotent ? "POST" : "GET",
      path,
      body: isNonIdempotent ? "one table for two" : "",
      headers: {
        host: document().host,
        [headers.attempt]: attempt,
        [headers.timeLeft]: String(timeLeft),
        ...adapter.promptHeaders(drawPromptParts(random, path)),
        ...(stream?.origin === undefined ? {} : {
          [headers.resumes]: stream.origin,
          [headers.lastEvent]: String(stream.lastId),
        }),
      },
      timeout: timeLeft,
      closeAfter,
      ...(other === undefined ? { agent: this.#agent! } : {}),
    });
    const { status } = reply;
    if (status === 0 && other === undefined) {
      this.#disconnect();
    }
    const isClosedHere = status === 0 && closeAfter !== undefined;
    const body = "body" in reply ? reply.body : reply.partialBody;
    if (stream !== undefined && (status === 200 || status === 0)) {
      stream.append(body, { attempt });
    }
    const { isWhole, problem } = status === 200 && "body" in reply
      ? this.#checkBody(attempt, { ...reply, stream })
      : { isWhole: false, problem: undefined };
    const hasConnected = !("reason" in reply) ||
      !reply.reason.includes("ECONNREFUSED");
    // What this caller has ended itself says nothing about the entry.
    if (!isClosedHere) {
      const tried = { attempt, isNonIdempotent, entry, sentAt, timeLeft };
      onOutcome({ ...tried, status, isWhole, hasConnected, problem });
    }
    const hasBegun = status === 200 || stream?.origin !== undefined;
    const hasNotRun = NOT_RUN_STATUSES.includes(status) || !hasConnected;
    return {
      isWhole,
      mayRetry: !hasBegun && (hasNotRun || !isNonIdempotent),
      answeredAt: hasBegun ? reply.firstByteAt : undefined,
    };
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
    const kind: RequestKind = isStream
      ? (isNonIdempotent ? "streams run once" : "resumable streams")
      : (isNonIdempotent ? "calls run once" : "idempotent calls");
    return { kind, prefix, isNonIdempotent, isStream };
  }

  #checkBody(
    attempt: string,
    reply: {
      body: string;
      headers: Readonly<Record<string, unknown>>;
      isFramed: boolean;
      stream: ReceivedStream | undefined;
    },
  ): Pick<RequestOutcome, "isWhole" | "problem"> {
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
    const problem = isWhole || mayBeCut
      ? undefined
      : `${attempt} got the response "${body}" with the digest ${digest}`;
    return { isWhole, problem };
  }
}
