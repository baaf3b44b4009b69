import type { Milliseconds, Random } from "@heroncleat/base";
import { drawPromptParts } from "./draw_prompt_parts.ts";
import { sendHttpRequest } from "./send_http_request.ts";
import type { SoakDocument } from "./soak_document.ts";
import type { ProgramAdapter } from "./program_adapter.ts";

/** Identifies crashing requests by their paths, and crashing prompt parts. */
const MARKER = "crashes-";
const REQUEST_TIMEOUT: Milliseconds = 3000;

/** Requests that crash each upstream that runs one. */
type CrashingRequest = {
  /** Path of each of them; undefined if no two are alike. */
  readonly path: string | undefined;
  /** The part of their prompts that upstreams crash on, if it is one. */
  readonly part: string | undefined;
  readonly isNonIdempotent: boolean;
};

type CrashingRequestsOptions = {
  readonly adapter: ProgramAdapter;
  readonly random: Random;
  readonly document: () => SoakDocument;
  /** Caller addresses of the entries. */
  readonly listEntries: () => readonly string[];
};

/** Creates and sends requests that crash upstreams. */
export class CrashingRequests {
  readonly #options: CrashingRequestsOptions;
  #createdCount = 0;
  #sentCount = 0;

  constructor(options: CrashingRequestsOptions) {
    this.#options = options;
  }

  /** Returns what upstreams crash on in a request, if anything. */
  causeOf(path: string, parts: readonly string[]): string | undefined {
    return path.includes(MARKER)
      ? path
      : parts.find((part) => part.startsWith(MARKER));
  }

  /** Creates a request that crashes upstreams by itself. */
  create({ isNonIdempotent }: { isNonIdempotent: boolean }): CrashingRequest {
    this.#createdCount += 1;
    return {
      path: `${
        this.#prefixOf({ isNonIdempotent })
      }${MARKER}${this.#createdCount}`,
      part: undefined,
      isNonIdempotent,
    };
  }

  /** Creates a prompt part that crashes upstreams, whatever it comes with. */
  createPart(
    { isNonIdempotent }: { isNonIdempotent: boolean },
  ): CrashingRequest {
    this.#createdCount += 1;
    return {
      path: undefined,
      part: `${MARKER}${this.#createdCount}`,
      isNonIdempotent,
    };
  }

  /** Sends such a request to a random entry. */
  async send(request: CrashingRequest): Promise<void> {
    const { adapter, random, document, listEntries } = this.#options;
    const { part, isNonIdempotent } = request;
    const entries = listEntries();
    const entry = entries[Math.floor(random() * entries.length)];
    this.#sentCount += 1;
    if (entry === undefined) {
      return;
    }
    const path = request.path ??
      `${this.#prefixOf(request)}with-part-${this.#sentCount}`;
    const parts = drawPromptParts(random, path);
    if (part !== undefined) {
      parts.splice(Math.floor(random() * parts.length), 0, part);
    }
    await sendHttpRequest(entry, {
      method: isNonIdempotent ? "POST" : "GET",
      path,
      body: isNonIdempotent ? "the same each time" : "",
      headers: {
        host: document().host,
        [adapter.headers.attempt]: `crashing-${this.#sentCount}`,
        [adapter.headers.timeLeft]: `${REQUEST_TIMEOUT}`,
        ...adapter.promptHeaders(parts),
      },
      timeout: REQUEST_TIMEOUT,
    });
  }

  #prefixOf({ isNonIdempotent }: { isNonIdempotent: boolean }): string {
    const { nonIdempotentPrefix, idempotentPrefix } = this.#options.document();
    return isNonIdempotent ? nonIdempotentPrefix : idempotentPrefix;
  }
}
