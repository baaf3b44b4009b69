import { RequestTally } from "./request_tally.ts";

test("requests are summarized by kind over all their tries", () => {
  const tally = new RequestTally();
  for (let at = 1; at <= 100; at += 1) {
    const isServed = at > 5;
    tally.record("idempotent calls", {
      isServed,
      tries: isServed ? 1 : 4,
      firstByteTime: isServed ? at : undefined,
    });
  }
  expect([...tally.summarize()]).toEqual([["idempotent calls", {
    count: 100,
    servedShare: 0.95,
    triesPerRequest: 1.15,
    firstByteTime: { median: 53, tail: 100 },
  }]]);
});
