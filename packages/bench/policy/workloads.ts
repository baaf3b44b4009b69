import type { Workload } from "./workload.ts";

/** The users' workloads in the sizes of today: five workspaces, two large. */
export const WORKLOADS = {
  bordvakt: {
    name: "Bordvakt",
    rate: 12,
    prefixes: 10,
    sharedWords: 1400,
    ownWords: 120,
    leastTokens: 30,
    mostTokens: 110,
    priorities: ["guest", "guest", "guest", "icebreaker"],
    shares: [0.42, 0.28, 0.14, 0.1, 0.06],
  },
  bureau: {
    name: "Bureau",
    rate: 4,
    prefixes: 20,
    sharedWords: 700,
    ownWords: 200,
    leastTokens: 120,
    mostTokens: 420,
    priorities: ["draft", "draft", "notice", "icebreaker"],
    shares: [0.42, 0.28, 0.14, 0.1, 0.06],
  },
} as const satisfies Record<string, Workload>;
