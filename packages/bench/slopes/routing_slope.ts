import { createHash } from "node:crypto";
import { Router, ROUTING_DEFAULTS } from "@heroncleat/routing";

/** What routing costs with a number of upstreams. */
type RoutingCost = {
  readonly microsecondsEach: number;
  readonly kilobytesEach: number;
};

const REQUESTS = 5000;
const PREFIX_BLOCKS = 32;

/** Routes requests over a number of upstreams and times it. */
export function measureRouting(upstreams: number): RoutingCost {
  const before = heapUsed();
  const router = createRouter(upstreams);
  const prefix = Array.from({ length: PREFIX_BLOCKS }, (_, n) => `block-${n}`);
  const route = (place: number) => {
    const token = `t${place}`;
    const decision = router.route({
      id: token,
      workspace: "bench",
      model: "assistant",
      service: "",
      method: "POST",
      path: "",
      prefix,
      promptTokens: 1000,
      exclude: [],
    }, { token, now: place });
    if (decision.kind === "chosen") {
      const { upstream } = decision.choice;
      router.recordEnd(upstream, {
        token,
        outcome: "succeeded",
        now: place + 1,
      });
    }
  };
  for (let place = 0; place < REQUESTS / 10; place += 1) {
    route(place);
  }
  const startedAt = performance.now();
  for (let place = 0; place < REQUESTS; place += 1) {
    route(REQUESTS + place);
  }
  const taken = performance.now() - startedAt;
  return {
    microsecondsEach: taken / REQUESTS * 1000,
    kilobytesEach: (heapUsed() - before) / 1024 / upstreams,
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
  for (let place = 0; place < upstreams; place += 1) {
    router.updateUpstream({
      name: `engine-${place}`,
      address: `engine-${place}:1`,
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

function heapUsed(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
