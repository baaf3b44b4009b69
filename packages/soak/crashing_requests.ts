import type { Milliseconds, Random } from "@heroncleat/base";
import { callOnce } from "./call_once.ts";
import type { SoakDocument } from "./soak_document.ts";
import type { SoakWire } from "./soak_wire.ts";

/** Part of the path of requests that end each upstream that runs them. */
const MARK = "crashes-";
const TIMEOUT: Milliseconds = 3000;

/** A request that ends each upstream that runs it. */
type CrashingRequest = { readonly path: string; readonly isSingle: boolean };

type CrashingOptions = {
  readonly wire: SoakWire;
  readonly random: Random;
  readonly document: () => SoakDocument;
  /** Callers' addresses of the entries. */
  readonly listEntries: () => readonly string[];
};

/** Makes and sends requests that end upstreams. */
export class CrashingRequests {
  readonly #options: CrashingOptions;
  #made = 0;
  #sent = 0;

  constructor(options: CrashingOptions) {
    this.#options = options;
  }

  /** Whether a request is one of them. */
  ends(path: string): boolean {
    return path.includes(MARK);
  }

  /** One unlike any before. */
  create({ isSingle }: { isSingle: boolean }): CrashingRequest {
    const { singlePrefix, repeatablePrefix } = this.#options.document();
    this.#made += 1;
    const prefix = isSingle ? singlePrefix : repeatablePrefix;
    return { path: `${prefix}${MARK}${this.#made}`, isSingle };
  }

  /** Sends it to one entry, drawn anew each time. */
  async send({ path, isSingle }: CrashingRequest): Promise<void> {
    const { wire, random, document, listEntries } = this.#options;
    const entries = listEntries();
    const entry = entries[Math.floor(random() * entries.length)];
    this.#sent += 1;
    if (entry === undefined) {
      return;
    }
    await callOnce(entry, {
      method: isSingle ? "POST" : "GET",
      path,
      body: isSingle ? "the same each time" : "",
      headers: {
        host: document().host,
        [wire.headers.attempt]: `crashing-${this.#sent}`,
        [wire.headers.timeLeft]: `${TIMEOUT}`,
      },
      timeout: TIMEOUT,
    });
  }
}
