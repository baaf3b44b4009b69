import type { RequestKind } from "./request_kind.ts";

/** A quarter of the rates of docs/UNDER_LOAD.md. */
const SCALE = 0.25;
const SERVICE = "engines";
const LONG_PROMPT = { sharedTokens: 5382, ownTokens: 6610, events: 48 };
const SHORT_PROMPT = { sharedTokens: 568, ownTokens: 1800, events: 3 };

/** Kinds of requests by deployment. */
export const LOAD_KINDS = {
  /** Long prompts are the most urgent, short ones are worth little. */
  evenEngines: [
    {
      name: "review",
      service: SERVICE,
      rank: 0,
      ...LONG_PROMPT,
      perSecond: 77.8 * SCALE,
      objective: 1019,
      maxPause: 400,
      timeBudget: 12_233,
      benefitOnTime: 11,
      benefitLate: 0.45,
    },
    {
      name: "query",
      service: SERVICE,
      rank: 2,
      ...SHORT_PROMPT,
      perSecond: 384 * SCALE,
      objective: 2010,
      maxPause: 400,
      timeBudget: 3014,
      benefitOnTime: 0.33,
      benefitLate: 0.05,
    },
  ],
  /** Short prompts are the most urgent. */
  unevenEngines: [
    {
      name: "query",
      service: SERVICE,
      rank: 0,
      ...SHORT_PROMPT,
      perSecond: 440 * SCALE,
      objective: 404,
      maxPause: 300,
      timeBudget: 2525,
      benefitOnTime: 1.9,
      benefitLate: 0.19,
    },
    {
      name: "statement",
      service: SERVICE,
      rank: 1,
      ...LONG_PROMPT,
      perSecond: 79.4 * SCALE,
      objective: 808,
      maxPause: 300,
      timeBudget: 15_152,
      benefitOnTime: 8.2,
      benefitLate: 0.82,
    },
  ],
} as const satisfies Record<string, readonly RequestKind[]>;
