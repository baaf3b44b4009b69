import { readFileSync } from "node:fs";
import { createFault, type Fault, splitList } from "@heroncleat/base";
import type { FaultBody } from "@heroncleat/schema";
import { Result } from "true-myth/result";
import { request } from "undici";

/** Response of the operator API. */
type OperatorResponse = { readonly status: number; readonly body: unknown };

const REQUEST_TIMEOUT_MS = 30_000;

/** Sends requests to the control replicas, trying them in order. */
export class OperatorClient {
  readonly #addresses: readonly string[];
  readonly #token: string;

  private constructor(addresses: readonly string[], token: string) {
    this.#addresses = addresses;
    this.#token = token;
  }

  static create(
    control: string,
    tokenFile: string,
  ): Result<OperatorClient, Fault> {
    try {
      const token = readFileSync(tokenFile, "utf8").trim();
      return Result.ok(new OperatorClient(splitList(control), token));
    } catch (error) {
      return Result.err(createFault(
        "settings",
        `${tokenFile} can't be read (${(error as Error).message}). Remedy: ` +
          "give a file with your token in --token-file.",
      ));
    }
  }

  /** Repeating a change is safe because its ID makes it idempotent. */
  async send(
    method: "GET" | "POST",
    path: string,
    body?: unknown,
  ): Promise<Result<OperatorResponse, Fault>> {
    let problem = "no address was given";
    for (const address of this.#addresses) {
      try {
        const response = await this.#sendTo(address, { method, path, body });
        if (response.status !== 503) {
          return Result.ok(response);
        }
        problem = (response.body as FaultBody).error.message;
      } catch (error) {
        problem = `${address}: ${(error as Error).message}`;
      }
    }
    return Result.err(createFault(
      "no_quorum",
      `No control replica could serve the request (${problem}). Remedy: ` +
        "check --control and that a majority of the replicas is running.",
    ));
  }

  async #sendTo(
    address: string,
    options: { method: "GET" | "POST"; path: string; body: unknown },
  ): Promise<OperatorResponse> {
    const { method, path, body } = options;
    const response = await request(`http://${address}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${this.#token}`,
        "content-type": "application/json",
      },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    const value = await response.body.json();
    return { status: response.statusCode, body: value };
  }
}
