import type { Milliseconds } from "@heroncleat/base";
import { pause } from "./pause.ts";
import type { ProgramAdapter } from "./program_adapter.ts";
import { sendHttpRequest } from "./send_http_request.ts";
import type { SoakDocument } from "./soak_document.ts";

const CALL_TIMEOUT: Milliseconds = 1000;
/** Time in which some replica must answer a read. */
const READ_TIMEOUT: Milliseconds = 20_000;
const READ_INTERVAL: Milliseconds = 200;

type PublisherOptions = {
  readonly adapter: ProgramAdapter;
  readonly listReplicas: () => readonly string[];
};

/** Publishes the configuration document and checks that it isn't lost. */
export class DocumentPublisher {
  readonly #options: PublisherOptions;
  #document: SoakDocument = {
    version: 1,
    service: "desk",
    host: "inn.example",
    idempotentPrefix: "/look/",
    nonIdempotentPrefix: "/book/",
    resumablePrefix: "/tell/",
    streamPrefix: "/tell-once/",
    timeout: 3000,
    idleTimeout: 15_000,
    furtherRoutes: 0,
    workspaceRates: [],
  };
  #acknowledgedVersion = 0;
  /** When a change was last sent. */
  changedAt: Milliseconds = -Infinity;

  constructor(options: PublisherOptions) {
    this.#options = options;
  }

  get document(): SoakDocument {
    return this.#document;
  }

  /**
   * Publishes the next version of the document.
   *
   * @returns Whether a replica acknowledged it.
   */
  async publish(change: Partial<SoakDocument> = {}): Promise<boolean> {
    const { adapter, listReplicas } = this.#options;
    const version = this.#document.version + 1;
    this.#document = { ...this.#document, ...change, version };
    const call = adapter.publish(this.#document);
    for (const address of listReplicas()) {
      this.changedAt = performance.now();
      const reply = await sendHttpRequest(address, {
        ...call,
        timeout: CALL_TIMEOUT,
      });
      if (reply.status === 200) {
        this.#acknowledgedVersion = Math.max(
          this.#acknowledgedVersion,
          version,
        );
        return true;
      }
    }
    return false;
  }

  /**
   * Checks that the last acknowledged document survived.
   *
   * @returns What is wrong; undefined if nothing is.
   */
  async findProblem(): Promise<string | undefined> {
    const { adapter, listReplicas } = this.#options;
    const until = performance.now() + READ_TIMEOUT;
    while (performance.now() < until) {
      for (const address of listReplicas()) {
        const reply = await sendHttpRequest(address, {
          ...adapter.readDocument,
          timeout: CALL_TIMEOUT,
        });
        if (reply.status !== 200 || !("body" in reply)) {
          continue;
        }
        const version = adapter.parseVersion(reply.body);
        return version < this.#acknowledgedVersion
          ? `${address} has version ${version}; ${this.#acknowledgedVersion} ` +
            "was acknowledged"
          : undefined;
      }
      await pause(READ_INTERVAL);
    }
    return "No replica returned a configuration document";
  }
}
