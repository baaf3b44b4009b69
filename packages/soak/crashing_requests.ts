import type { Milliseconds, Random } from "@heroncleat/base";
import { sendHttpRequest } from "./send_http_request.ts";
import type { SoakDocument } from "./soak_document.ts";
import type { ProgramAdapter } from "./program_adapter.ts";

/** Path segment that identifies crashing requests. */
const PATH_MARKER = "crashes-";
const REQUEST_TIMEOUT: Milliseconds = 3000;

/** A request that crashes each upstream that runs it. */
type CrashingRequest = {
  readonly path: string;
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

  /** Whether a path belongs to a crashing request. */
  isCrashing(path: string): boolean {
    return path.includes(PATH_MARKER);
  }

  /** Creates a request with a path that wasn't used before. */
  create({ isNonIdempotent }: { isNonIdempotent: boolean }): CrashingRequest {
    const { nonIdempotentPrefix, idempotentPrefix } = this.#options.document();
    this.#createdCount += 1;
    const prefix = isNonIdempotent ? nonIdempotentPrefix : idempotentPrefix;
    return {
      path: `${prefix}${PATH_MARKER}${this.#createdCount}`,
      isNonIdempotent,
    };
  }

  /** Sends the request to a random entry. */
  async send({ path, isNonIdempotent }: CrashingRequest): Promise<void> {
    const { adapter, random, document, listEntries } = this.#options;
    const entries = listEntries();
    const entry = entries[Math.floor(random() * entries.length)];
    this.#sentCount += 1;
    if (entry === undefined) {
      return;
    }
    await sendHttpRequest(entry, {
      method: isNonIdempotent ? "POST" : "GET",
      path,
      body: isNonIdempotent ? "the same each time" : "",
      headers: {
        host: document().host,
        [adapter.headers.attempt]: `crashing-${this.#sentCount}`,
        [adapter.headers.timeLeft]: `${REQUEST_TIMEOUT}`,
      },
      timeout: REQUEST_TIMEOUT,
    });
  }
}
