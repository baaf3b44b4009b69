import { FleetPlanner } from "./fleet_planner.ts";
import { limitDocumentNumbers } from "./limit_document_numbers.ts";
import { RouteKind } from "./route_kind.ts";
import type { ServingDocument } from "./serving_document.ts";
import { testRecord } from "./test_record.ts";
import { WorkspaceQuota } from "./workspace_quota.ts";

const HUGE = 1e308;

/** A document whose numbers, apart from the version, are all the same. */
function createDocument(number: number): ServingDocument {
  return {
    version: 1,
    routes: [{
      name: "r",
      host: "h",
      pathPrefix: "/",
      kind: RouteKind.streaming,
      targets: [{ service: "desk", weight: number }, {
        service: "desk",
        weight: number,
      }],
      timeout: number,
      latencyObjective: number,
      priority: number,
      maxAttempts: 2,
      isPublic: false,
      isResumable: false,
    }],
    services: [{
      name: "desk",
      maxConnections: number,
      engine: {
        slots: number,
        kvCapacityTokens: number,
        kvTokenBytes: number,
        linkMbps: number,
        canMove: false,
      },
      scale: {
        min: number,
        max: number,
        bootTime: number,
        spotPrice: number,
        zonePrices: { a: number, b: number },
      },
    }],
    workspaces: [{
      name: "inn",
      keys: ["key"],
      priority: number,
      rate: number,
      burst: number,
      defaultCharge: number,
      countsTokens: true,
    }],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeout: 1,
      idleTimeout: 1,
    },
  };
}

// Guards against a quota whose sums aren't numbers any more, so that a
// workspace gets nothing or everything.
test.each([HUGE, 1.8e19])("a quota of %s can be used", (number) => {
  const [workspace] = limitDocumentNumbers(createDocument(number)).workspaces!;
  const quota = new WorkspaceQuota({
    isFresh: true,
    window: 8000,
    overshoot: 0.1,
    tolerance: 0,
  });
  const { defaultCharge } = workspace!;
  for (let now = 0; now < 20_000; now += 100) {
    quota.charge(workspace!, { amount: defaultCharge, now });
    quota.applyCharges("others", {
      spent: { inn: now * defaultCharge / 10_000 },
      share: now % 3000 === 0 ? 0.5 : 1,
      entries: 3,
      now,
    });
  }
  for (const amount of Object.values(quota.spent())) {
    expect(Number.isFinite(amount)).toBe(true);
  }
  const later = quota.charge(workspace!, { amount: 1, now: 40_000 });
  expect(later.ok).toBe(true);
});

// Guards against orders for a number of upstreams that isn't one.
test.each([0, -1, 0.5, HUGE])(
  "orders with numbers of %s are usable",
  (number) => {
    const [service] = limitDocumentNumbers(createDocument(number)).services;
    const planner = new FleetPlanner(service!, {
      settings: { initialShare: 0.4, utilization: 0.6, slotShare: 0.6 },
      now: 0,
    });
    const upstreams = [testRecord({ service: "desk" })];
    for (let now = 0; now < 30_000; now += 500) {
      const requests = now % 2000 === 0 ? 0 : 3;
      planner.observe({ requests, readWork: now, prefillSpeed: 1 }, now);
      for (const { count } of planner.plan({ upstreams, isIdle: false, now })) {
        expect(Number.isSafeInteger(count)).toBe(true);
        expect(count).toBeGreaterThanOrEqual(0);
      }
    }
  },
);
