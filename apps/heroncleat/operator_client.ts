import { readFileSync } from "node:fs";
import { createFault, type Fault, splitList } from "@heroncleat/base";
import type { FaultBody } from "@heroncleat/schema";
import { Result } from "true-myth/result";
import { request } from "undici";

/** An answer of the operator API. */
type OperatorReply = { readonly status: number; readonly body: unknown };

const REQUEST_TIMEOUT = 30_000;

/** Talks to any control replica, the next one when one can't be reached. */
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
          "name a file that holds your token with --token-file.",
      ));
    }
  }

  /** Repeating a change is safe: its identifier makes it idempotent. */
  async send(
    method: "GET" | "POST",
    path: string,
    body?: unknown,
  ): Promise<Result<OperatorReply, Fault>> {
    let problem = "no address was given";
    for (const address of this.#addresses) {
      try {
        const reply = await this.#sendTo(address, { method, path, body });
        if (reply.status !== 503) {
          return Result.ok(reply);
        }
        problem = (reply.body as FaultBody).error.message;
      } catch (error) {
        problem = `${address}: ${(error as Error).message}`;
      }
    }
    return Result.err(createFault(
      "no_quorum",
      `No control replica could serve this (${problem}). Remedy: check ` +
        "--control, and that most replicas run.",
    ));
  }

  async #sendTo(
    address: string,
    options: { method: "GET" | "POST"; path: string; body: unknown },
  ): Promise<OperatorReply> {
    const { method, path, body } = options;
    const response = await request(`http://${address}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${this.#token}`,
        "content-type": "application/json",
      },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(REQUEST_TIMEOUT),
    });
    const value = await response.body.json();
    return { status: response.statusCode, body: value };
  }
}
