import { build as buildHistogram } from "hdr-histogram-js";

import type { PolicyResult } from "./policy_result.ts";

const FIRST_TOKEN_TARGET = 740;
const BETWEEN_TARGET = 78;

/** Counts what callers see during one run. */
export class Outcomes {
  readonly #first = buildHistogram({ numberOfSignificantValueDigits: 3 });
  readonly #between = buildHistogram({ numberOfSignificantValueDigits: 3 });
  readonly #goodBy = new Map<number, number>();
  offered = 0;
  refused = 0;
  failed = 0;
  answered = 0;
  good = 0;
  recomputed = 0;
  computed = 0;

  piece(gap: number): void {
    this.#between.recordValue(gap);
  }

  answer(
    workspace: number,
    times: { firstToken: number; meanGap: number },
  ): void {
    this.answered += 1;
    this.#first.recordValue(times.firstToken);
    const isGood = times.firstToken <= FIRST_TOKEN_TARGET &&
      times.meanGap <= BETWEEN_TARGET;
    if (isGood) {
      this.good += 1;
      this.#goodBy.set(workspace, (this.#goodBy.get(workspace) ?? 0) + 1);
    }
  }

  summarize(cost: number, running: number): PolicyResult {
    return {
      firstP50: this.#first.getValueAtPercentile(50),
      firstP95: this.#first.getValueAtPercentile(95),
      firstP99: this.#first.getValueAtPercentile(99),
      betweenP95: this.#between.getValueAtPercentile(95),
      withinTarget: this.good / Math.max(1, this.offered - running),
      refused: this.refused,
      lost: this.failed,
      recomputed: this.recomputed,
      computedEach: this.computed / Math.max(1, this.answered),
      costPerThousand: cost / Math.max(1, this.good) * 1000,
      answered: this.answered,
      goodBy: [0, 1, 2, 3, 4].map((place) => this.#goodBy.get(place) ?? 0),
    };
  }
}
