import { createHash } from "node:crypto";
import { Router, ROUTING_DEFAULTS } from "@heroncleat/routing";

/** Costs of routing with a number of upstreams. */
type RoutingCost = {
  readonly microsecondsPerRequest: number;
  readonly kilobytesPerUpstream: number;
};

const REQUEST_COUNT = 5000;
const PREFIX_BLOCK_COUNT = 32;

/**
 * Routes requests to a number of upstreams and measures the time and memory.
 */
export function measureRouting(upstreams: number): RoutingCost {
  const before = readHeapBytes();
  const router = createRouter(upstreams);
  const prefix = Array.from(
    { length: PREFIX_BLOCK_COUNT },
    (_, n) => `block-${n}`,
  );
  const route = (index: number) => {
    const token = `t${index}`;
    const decision = router.route({
      id: token,
      workspace: "bench",
      model: "assistant",
      service: "",
      method: "POST",
      path: "",
      prefix,
      promptTokens: 1000,
      isContinued: false,
      exclude: [],
    }, { token, now: index });
    if (decision.kind === "chosen") {
      const { upstream } = decision.choice;
      router.recordEnd(upstream, {
        token,
        outcome: "succeeded",
        now: index + 1,
      });
    }
  };
  for (let index = 0; index < REQUEST_COUNT / 10; index += 1) {
    route(index);
  }
  const startedAt = performance.now();
  for (let index = 0; index < REQUEST_COUNT; index += 1) {
    route(REQUEST_COUNT + index);
  }
  const elapsed = performance.now() - startedAt;
  return {
    microsecondsPerRequest: elapsed / REQUEST_COUNT * 1000,
    kilobytesPerUpstream: (readHeapBytes() - before) / 1024 / upstreams,
  };
}

function createRouter(upstreams: number): Router {
  const router = new Router(ROUTING_DEFAULTS, {
    entry: "entry-1",
    hash: (text) =>
      createHash("sha1").update(text).digest().readUInt32BE(0) / 2 ** 32,
  });
  router.configure({
    revision: 1,
    groups: { all: { name: "all", labels: {}, state: "serving", share: 100 } },
    selectors: { all: { name: "all", order: 1, match: {}, groups: ["all"] } },
    limits: {},
    labels: {},
  });
  for (let index = 0; index < upstreams; index += 1) {
    router.updateUpstream({
      name: `engine-${index}`,
      address: `engine-${index}:1`,
      incarnation: 1,
      sequence: 1,
      kind: "model_engine",
      models: ["assistant"],
      zone: "zone-a",
      vmClass: "reclaimable",
      price: 1,
      labels: {},
      checksFencing: true,
      slots: 16,
      prefillRate: 5000,
      decodeInterval: 20,
      state: "serving",
      load: { running: 0, waiting: 0, kvUsedShare: 0, at: 0 },
    }, 0);
  }
  return router;
}

function readHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
