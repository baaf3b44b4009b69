import { VirtualTime } from "../virtual_time.ts";
import { LoadEngine } from "./load_engine.ts";
import { LOAD_KINDS } from "./load_kinds.ts";
import type { OfferedRequest } from "./offered_request.ts";

const [LONG_KIND, SHORT_KIND] = LOAD_KINDS.evenEngines;
const SETTINGS = {
  slots: 2,
  memoryTokens: 30_000,
  prefillSpeed: 50,
  step: 3,
};

/** An engine and what happened to the requests sent to it. */
function createEngine(settings = SETTINGS) {
  const time = new VirtualTime();
  const engine = new LoadEngine("engine", { zone: "a", settings, time });
  const started: number[] = [];
  const ended: number[] = [];
  const startTimes = new Map<number, number>();
  let lastId = 0;
  const send = (
    { kind = LONG_KIND, shared = "shared", tokens = 1000 }: {
      kind?: OfferedRequest["kind"];
      shared?: string;
      tokens?: number;
    } = {},
  ): number => {
    lastId += 1;
    const id = lastId;
    engine.send({
      request: {
        id,
        kind,
        workspace: 0,
        parts: [
          { id: shared, tokens },
          { id: `own-${id}`, tokens },
        ],
        promptTokens: 2 * tokens,
        events: 2,
        arrivedAt: time.now,
        attemptedAt: time.now,
      },
      prefillLeft: undefined,
      generatedTokens: 0,
      onEvent: () => {
        if (!startTimes.has(id)) {
          started.push(id);
          startTimes.set(id, time.now);
        }
      },
      onEnd: () => ended.push(id),
    });
    return id;
  };
  return { time, engine, send, started, ended, startTimes };
}

describe("an engine of a load", () => {
  test("serves queued requests by rank, then in the order of arrival", () => {
    const { time, send, started } = createEngine();
    const running = [send(), send()];
    const lessUrgent = send({ kind: SHORT_KIND });
    const urgent = [send(), send()];
    time.run(10_000);
    expect(started).toEqual([...running, ...urgent, lessUrgent]);
  });

  test("prefills prompts one after the other, beside decoding", () => {
    const { time, send, startTimes } = createEngine();
    const first = send({ shared: "one", tokens: 5000 });
    const second = send({ shared: "two", tokens: 5000 });
    time.run(10_000);
    // 10,000 tokens take 218 ms: 200 ms at 50 tokens per ms and 18 ms for
    // attention.
    expect(startTimes.get(first)).toBeGreaterThan(218);
    expect(startTimes.get(first)).toBeLessThan(218 + 50);
    expect(startTimes.get(second)).toBeGreaterThan(2 * 218);
    expect(startTimes.get(second)).toBeLessThan(2 * 218 + 50);
  });

  test("admits no request whose prompt doesn't fit beside the running ones", () => {
    const { time, engine, send, ended } = createEngine();
    const first = send({ tokens: 8000 });
    const second = send({ tokens: 8000 });
    time.run(100);
    expect(engine.running.map(({ request }) => request.id)).toEqual([first]);
    time.run(10_000);
    expect(ended).toEqual([first, second]);
    expect(engine.maxHeldTokens).toBeGreaterThan(SETTINGS.memoryTokens);
  });

  test("prefills cached parts only once, and evicts the least recently used", () => {
    const { time, engine, send, startTimes } = createEngine();
    const serve = (shared: string): number => {
      const sentAt = time.now;
      const id = send({ shared, tokens: 5000 });
      time.run(sentAt + 2000);
      return startTimes.get(id)! - sentAt;
    };
    const uncached = serve("one");
    expect(serve("one")).toBeLessThan(uncached * 0.75);
    expect(engine.readAgainTokens).toBe(0);
    // Each prompt fills a third of the memory.
    serve("two");
    serve("three");
    serve("four");
    expect(engine.cache.has("one")).toBe(false);
    expect(engine.cache.has("four")).toBe(true);
    expect(serve("one")).toBeGreaterThan(uncached * 0.9);
    expect(engine.readAgainTokens).toBe(5000);
  });

  test("drops a request whose caller gave up", () => {
    const { time, engine, send, ended } = createEngine();
    send();
    engine.cancel(engine.running[0]!);
    const next = send();
    time.run(10_000);
    expect(ended).toEqual([next]);
    expect(engine.running).toEqual([]);
  });

  test("takes longer while it is slow", () => {
    const { time, engine, send, startTimes } = createEngine();
    engine.slowdown = 2.5;
    const id = send({ tokens: 5000 });
    time.run(10_000);
    expect(startTimes.get(id)).toBeGreaterThan(2.5 * 218);
  });
});
