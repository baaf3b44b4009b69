import type { Random } from "@heroncleat/base";
import type { SimulatedRequest } from "./simulated_request.ts";
import type { Workload } from "./workload.ts";

const MS_PER_SECOND = 1000;

/**
 * Generates the requests of one workload; the same seed yields the same
 * requests.
 */
export class RequestGenerator {
  readonly #workload: Workload;
  readonly #random: Random;
  /** Shared prompt prefixes of each workspace. */
  readonly #prefixes: readonly (readonly string[])[];
  #requestCount = 0;

  constructor(workload: Workload, random: Random) {
    this.#workload = workload;
    this.#random = random;
    this.#prefixes = workload.shares.map((_, workspace) =>
      Array.from(
        { length: workload.prefixCount },
        (_, index) =>
          createWords(`w${workspace}p${index}`, workload.prefixWords),
      )
    );
  }

  /** Returns the time until the next request of a Poisson process, in ms. */
  nextInterval(loadFactor: number): number {
    const rate = this.#workload.rate * loadFactor;
    return -Math.log(1 - this.#random()) / rate * MS_PER_SECOND;
  }

  nextRequest(at: number): SimulatedRequest {
    const {
      uniqueWords,
      prefixWords,
      priorities,
      prefixCount,
    } = this.#workload;
    const { minTokens, maxTokens } = this.#workload;
    this.#requestCount += 1;
    const workspace = this.#pickWorkspace();
    const workspacePrefixes = this.#prefixes[workspace]!;
    const sharedPrefix =
      workspacePrefixes[Math.floor(this.#random() * prefixCount)]!;
    const tokenRange = maxTokens - minTokens;
    return {
      id: `request-${this.#requestCount}`,
      workspace,
      priority: priorities[Math.floor(this.#random() * priorities.length)]!,
      prompt: sharedPrefix + createWords(`r${this.#requestCount}`, uniqueWords),
      promptWords: prefixWords + uniqueWords,
      tokens: minTokens + Math.floor(this.#random() * tokenRange),
      at,
    };
  }

  #pickWorkspace(): number {
    let remaining = this.#random();
    for (const [workspace, share] of this.#workload.shares.entries()) {
      remaining -= share;
      if (remaining < 0) {
        return workspace;
      }
    }
    return 0;
  }
}

function createWords(seed: string, count: number): string {
  return Array.from({ length: count }, (_, index) => `${seed}${index % 97} `)
    .join("");
}
