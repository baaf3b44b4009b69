import { build as buildHistogram } from "hdr-histogram-js";

import type { PolicyResult } from "./policy_result.ts";

const FIRST_TOKEN_TARGET_MS = 740;
const TOKEN_INTERVAL_TARGET_MS = 78;

/** Collects request counts and latencies as callers see them during one run. */
export class Outcomes {
  readonly #firstTokenTimes = buildHistogram({
    numberOfSignificantValueDigits: 3,
  });
  readonly #tokenIntervals = buildHistogram({
    numberOfSignificantValueDigits: 3,
  });
  readonly #goodByWorkspace = new Map<number, number>();
  offered = 0;
  refused = 0;
  failed = 0;
  answered = 0;
  good = 0;
  recomputedTokens = 0;
  prefillTokens = 0;

  recordTokenInterval(interval: number): void {
    this.#tokenIntervals.recordValue(interval);
  }

  recordResponse(
    workspace: number,
    times: { firstToken: number; meanTokenInterval: number },
  ): void {
    this.answered += 1;
    this.#firstTokenTimes.recordValue(times.firstToken);
    const isGood = times.firstToken <= FIRST_TOKEN_TARGET_MS &&
      times.meanTokenInterval <= TOKEN_INTERVAL_TARGET_MS;
    if (isGood) {
      this.good += 1;
      this.#goodByWorkspace.set(
        workspace,
        (this.#goodByWorkspace.get(workspace) ?? 0) + 1,
      );
    }
  }

  summarize(cost: number, running: number): PolicyResult {
    return {
      firstTokenP50: this.#firstTokenTimes.getValueAtPercentile(50),
      firstTokenP95: this.#firstTokenTimes.getValueAtPercentile(95),
      firstTokenP99: this.#firstTokenTimes.getValueAtPercentile(99),
      tokenIntervalP95: this.#tokenIntervals.getValueAtPercentile(95),
      withinTarget: this.good / Math.max(1, this.offered - running),
      refused: this.refused,
      lost: this.failed,
      recomputedTokens: this.recomputedTokens,
      prefillTokensPerRequest: this.prefillTokens / Math.max(1, this.answered),
      costPerThousandGood: cost / Math.max(1, this.good) * 1000,
      answered: this.answered,
      goodByWorkspace: [0, 1, 2, 3, 4].map((workspace) =>
        this.#goodByWorkspace.get(workspace) ?? 0
      ),
    };
  }
}
