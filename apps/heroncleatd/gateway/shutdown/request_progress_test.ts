import type { IncomingMessage } from "node:http";
import { RequestProgress } from "./request_progress.ts";

const message = { complete: true, isPaused: () => true } as IncomingMessage;

test("a request that wasn't forwarded has no facts but that", () => {
  expect(new RequestProgress().describe(1000)).toEqual({
    isPaused: 0,
    upstreamEnded: 0,
  });
});

test("a request that another entry passed on names it", () => {
  const progress = new RequestProgress();
  progress.recordAdmitted({
    route: { name: "chat" },
    size: 20,
    deadline: 4000,
    relayedBy: "e1",
  });
  expect(progress.describe(1000)).toMatchObject({
    route: "chat",
    size: 20,
    deadlineAt: 3000,
    relayedBy: "e1",
  });
});

test("facts of an attempt don't outlast it", () => {
  const progress = new RequestProgress();
  progress.recordSent("u1", 900);
  progress.recordHead(message, 950);
  expect(progress.describe(1000)).toEqual({
    upstream: "u1",
    sentAt: -100,
    receivedAt: -50,
    isPaused: 1,
    upstreamEnded: 1,
  });
  progress.recordSent("entry:e2", 1010);
  expect(progress.describe(1000)).toEqual({
    upstream: "entry:e2",
    sentAt: 10,
    isPaused: 0,
    upstreamEnded: 0,
  });
});
