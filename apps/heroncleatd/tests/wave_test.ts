import {
  streamChatCompletion,
  type StreamedChatCompletion,
} from "@heroncleat/local_deployment";
import { LiveDeployment } from "./live_deployment.ts";

const REQUESTS = 1000;
const CONCURRENT_CALLERS = 120;
const TOKENS = 40;
const NOTICE_MS = 1000;

const live = new LiveDeployment({
  firstPort: 23_000,
  controls: 3,
  entries: 4,
  engines: 8,
  services: 1,
  entrySettings: { upstream_lease: 1500 },
  engine: { decodeInterval: 12, slots: 48 },
  upstream: (settings, place) => ({
    ...settings,
    announceInterval: 200,
    engine: { ...settings.engine, salt: `salt-${place}` },
  }),
});

beforeAll(() => live.start());
afterAll(() => live.stop());

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Reclaims and restarts one zone after the other. Returns the number of rounds.
 */
async function runWaves(isDone: () => boolean): Promise<number> {
  let waves = 0;
  while (!isDone()) {
    const zone = waves % 4 + 1;
    const names = [`engine-${zone}`, `engine-${zone + 4}`];
    await Promise.all(
      names.map((name) => live.callStandIn(name, { leaveIn: NOTICE_MS })),
    );
    await sleep(NOTICE_MS);
    for (const name of names) {
      live.processes.signal(name, "SIGKILL");
      await live.processes.waitForExit(name);
    }
    await sleep(300);
    for (const name of names) {
      live.restart(name);
    }
    await sleep(700);
    waves += 1;
  }
  return waves;
}

/** Counts refusals by the kind of fault and its message. */
function countReasons(
  refused: readonly StreamedChatCompletion[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { status, refusal } of refused) {
    const { kind, message } = refusal === ""
      ? { kind: "none", message: "no response" }
      : JSON.parse(refusal).error;
    const reason = `${status} ${kind}: ${message}`;
    counts[reason] = (counts[reason] ?? 0) + 1;
  }
  return counts;
}

describe("a thousand requests while whole zones are reclaimed", () => {
  test("get complete responses", async () => {
    const responses: StreamedChatCompletion[] = [];
    let next = 0;
    let running = CONCURRENT_CALLERS;
    const waves = runWaves(() => running === 0);
    const callers = Array.from({ length: CONCURRENT_CALLERS }, async () => {
      while (next < REQUESTS) {
        const n = next;
        next += 1;
        responses.push(
          await streamChatCompletion({
            entries: [
              live.callerAddresses[n % 4]!,
              live.callerAddresses[(n + 1) % 4]!,
            ],
            key: live.key,
            body: {
              model: "assistant",
              max_tokens: TOKENS,
              messages: [{ role: "user", content: `Letter ${n}` }],
            },
            timeout: 30_000,
          }),
        );
      }
      running -= 1;
    });
    await Promise.all(callers);
    const accepted = responses.filter((response) => response.status === 200);
    const refused = responses.filter((response) => response.status !== 200);
    const complete = accepted.filter((response) =>
      response.misplaced === 0 &&
      (response.finishReason === "stop" || response.pieces === TOKENS)
    );
    expect(await waves).toBeGreaterThan(1);
    expect(complete).toHaveLength(accepted.length);
    const isEnough = accepted.length > REQUESTS * 0.95;
    // Shows why requests were refused, if too many were.
    expect(isEnough ? {} : countReasons(refused)).toEqual({});
    expect(refused.map((response) => response.run)).toEqual(
      refused.map(() => "not-run"),
    );
  });
});
