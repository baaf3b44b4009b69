import type { Log } from "./log.ts";
import { createRefusalLogger } from "./create_refusal_logger.ts";

test("refusals are counted by cause, and one a second of each is logged", () => {
  const counts: Record<string, number> = {};
  const lines: Record<string, unknown>[] = [];
  let now = 5000;
  const logger = createRefusalLogger({
    log: { warn: (_, context) => lines.push(context ?? {}) } as Partial<
      Log
    > as Log,
    metrics: {
      increment: (name, by = 1) => counts[name] = (counts[name] ?? 0) + by,
    },
    clock: { steady: () => now },
  });
  const refusal = {
    address: "10.0.0.1:5000",
    cause: "handshake",
    reason: "it timed out",
  } as const;
  for (let index = 0; index < 100; index += 1) {
    logger(refusal);
  }
  now += 1000;
  logger(refusal);
  expect(counts).toEqual({ "peers.refused.handshake": 101 });
  expect(lines.map(({ omitted }) => omitted)).toEqual([0, 99]);
});
