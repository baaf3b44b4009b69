import type { IncomingMessage, ServerResponse } from "node:http";
import { crashIfBodyContains } from "./crash_if_body_contains.ts";
import { readBody } from "./read_body.ts";
import type { ServiceRun } from "./service_run.ts";
import { StandInBehaviour } from "./stand_in_behaviour.ts";

const SLOW_RESPONSE_MS = 2000;

/**
 * A plain service that records each call it runs, so that tests can detect calls
 * that ran twice or after a refusal.
 *
 * @internal
 */
export class ServiceServer {
  readonly runs: ServiceRun[] = [];
  behaviour: typeof StandInBehaviour[keyof typeof StandInBehaviour] =
    StandInBehaviour.normal;

  readonly #crashOn: string | undefined;

  constructor(crashOn?: string) {
    this.#crashOn = crashOn;
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    if (crashIfBodyContains(this.#crashOn, body)) {
      return;
    }
    const attempt = String(request.headers["heroncleat-attempt"] ?? "");
    if (this.behaviour === StandInBehaviour.refuse) {
      response.writeHead(503, { "heroncleat-not-run": attempt });
      response.end("{}");
      return;
    }
    if (this.behaviour === StandInBehaviour.fail) {
      response.writeHead(503);
      response.end("{}");
      return;
    }
    const run = this.#record(request, { body, attempt });
    if (this.behaviour === StandInBehaviour.slow) {
      await new Promise((resolve) => setTimeout(resolve, SLOW_RESPONSE_MS));
    }
    this.#respond(response, run);
  }

  #record(
    request: IncomingMessage,
    options: { body: string; attempt: string },
  ): ServiceRun {
    const run: ServiceRun = {
      number: this.runs.length + 1,
      method: request.method ?? "",
      path: request.url ?? "",
      body: options.body,
      attempt: options.attempt,
      key: String(request.headers["idempotency-key"] ?? ""),
    };
    this.runs.push(run);
    return run;
  }

  #respond(response: ServerResponse, run: ServiceRun): void {
    const { behaviour } = this;
    if (behaviour === StandInBehaviour.cut) {
      response.destroy();
      return;
    }
    if (behaviour === StandInBehaviour.stall) {
      return;
    }
    const text = JSON.stringify({ confirmation: run.number, path: run.path });
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    if (behaviour === StandInBehaviour.truncate) {
      response.write(text.slice(0, text.length / 2));
      response.destroy();
      return;
    }
    response.end(text);
  }
}
