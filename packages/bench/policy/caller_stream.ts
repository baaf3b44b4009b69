import type { Random } from "@heroncleat/base";
import type { SimulatedRequest } from "./simulated_request.ts";
import type { Workload } from "./workload.ts";

const MS_PER_SECOND = 1000;

/** Makes the requests of one workload, the same for the same random numbers. */
export class CallerStream {
  readonly #workload: Workload;
  readonly #random: Random;
  /** Beginnings of prompts, by workspace. */
  readonly #shared: readonly (readonly string[])[];
  #count = 0;

  constructor(workload: Workload, random: Random) {
    this.#workload = workload;
    this.#random = random;
    this.#shared = workload.shares.map((_, workspace) =>
      Array.from(
        { length: workload.prefixes },
        (_, place) => words(`w${workspace}p${place}`, workload.sharedWords),
      )
    );
  }

  /** Time until the next request, for arrivals at random. */
  nextGap(load: number): number {
    const rate = this.#workload.rate * load;
    return -Math.log(1 - this.#random()) / rate * MS_PER_SECOND;
  }

  next(at: number): SimulatedRequest {
    const { ownWords, sharedWords, priorities, prefixes } = this.#workload;
    const { leastTokens, mostTokens } = this.#workload;
    this.#count += 1;
    const workspace = this.#pickWorkspace();
    const beginnings = this.#shared[workspace]!;
    const beginning = beginnings[Math.floor(this.#random() * prefixes)]!;
    const spread = mostTokens - leastTokens;
    return {
      id: `request-${this.#count}`,
      workspace,
      priority: priorities[Math.floor(this.#random() * priorities.length)]!,
      prompt: beginning + words(`r${this.#count}`, ownWords),
      words: sharedWords + ownWords,
      tokens: leastTokens + Math.floor(this.#random() * spread),
      at,
    };
  }

  #pickWorkspace(): number {
    let left = this.#random();
    for (const [workspace, share] of this.#workload.shares.entries()) {
      left -= share;
      if (left < 0) {
        return workspace;
      }
    }
    return 0;
  }
}

function words(seed: string, count: number): string {
  return Array.from({ length: count }, (_, n) => `${seed}${n % 97} `).join("");
}
