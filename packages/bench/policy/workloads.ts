import type { Workload } from "./workload.ts";

/** Workloads of five workspaces, of which two send most of the requests. */
export const WORKLOADS = {
  bordvakt: {
    name: "Bordvakt",
    rate: 12,
    prefixCount: 10,
    prefixWords: 1400,
    uniqueWords: 120,
    minTokens: 30,
    maxTokens: 110,
    priorities: ["guest", "guest", "guest", "icebreaker"],
    shares: [0.42, 0.28, 0.14, 0.1, 0.06],
  },
  bureau: {
    name: "Bureau",
    rate: 4,
    prefixCount: 20,
    prefixWords: 700,
    uniqueWords: 200,
    minTokens: 120,
    maxTokens: 420,
    priorities: ["draft", "draft", "notice", "icebreaker"],
    shares: [0.42, 0.28, 0.14, 0.1, 0.06],
  },
} as const satisfies Record<string, Workload>;
