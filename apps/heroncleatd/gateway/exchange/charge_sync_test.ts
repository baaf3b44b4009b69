import type { Clock } from "@heroncleat/base";
import type { ChargeNotice } from "@heroncleat/schema";
import { RouteTable, type WorkspaceQuota } from "@heroncleat/serving";
import type { Log } from "../../common/log.ts";
import type { Metrics } from "../../common/metrics.ts";
import { ChargeSync } from "./charge_sync.ts";

const STRANGERS = 300;
const BUCKETS_PER_NOTICE = 1000;

/** An entry with one workspace that reaches no control replica. */
class IsolatedEntry {
  readonly counts: Record<string, number> = {};
  readonly lines: string[] = [];
  routeTable: RouteTable | undefined;
  /** The charges of the others as its quotas got them last. */
  charges: Readonly<Record<string, number>> = {};
  readonly sync: ChargeSync;

  constructor() {
    this.sync = new ChargeSync({
      entry: "self",
      boot: "1",
      quota: {
        spent: () => ({}),
        applyCharges: (_source, { spent }) => void (this.charges = spent),
      } as Partial<WorkspaceQuota> as WorkspaceQuota,
      broadcast: () => {},
      reply: () => {},
      clock: { steady: () => 0 } as Clock,
      log: {
        info: (line) => void this.lines.push(line),
      } as Partial<Log> as Log,
      metrics: {
        increment: (name, by = 1) =>
          this.counts[name] = (this.counts[name] ?? 0) + by,
        gauge: () => {},
      } as Partial<Metrics> as Metrics,
      isConnected: () => false,
      isOpen: () => true,
      countEntries: () => 3,
      routeTable: () => this.routeTable,
    });
  }

  applyDocument(): void {
    const workspace = {
      name: "inn",
      keys: ["key"],
      priority: undefined,
      rate: 100,
      burst: 100,
      defaultCharge: 1,
      countsTokens: true,
    };
    this.routeTable = new RouteTable({
      version: 1,
      routes: [],
      services: [],
      workspaces: [workspace],
      limits: {
        maxHeaderBytes: 0,
        maxBodyBytes: 0,
        headerTimeout: 0,
        idleTimeout: 0,
      },
    });
  }

  receive(entry: string, spent: Record<string, number>): void {
    const notice: ChargeNotice = {
      kind: "charges",
      entry,
      boot: "1",
      spent,
      isOpen: true,
      wantsAnswer: false,
    };
    this.sync.receive(notice, "127.0.0.9");
  }
}

// Guards against memory filled by buckets that anybody may name by datagram.
test("charges to known workspaces alone are kept of what entries report", () => {
  const entry = new IsolatedEntry();
  entry.applyDocument();
  entry.receive("other", { inn: 0, "inn excess": 0 });
  for (let sender = 0; sender < STRANGERS; sender += 1) {
    const names = Array.from(
      { length: BUCKETS_PER_NOTICE },
      (_, index) => [`bucket-${sender}-${index}`, index],
    );
    entry.receive(`stranger-${sender % 2}`, Object.fromEntries(names));
  }
  entry.receive("other", { inn: 40, "inn excess": 7 });
  entry.sync.exchangeDirectly();
  expect(entry.charges).toEqual({ inn: 40, "inn excess": 7 });
  expect(entry.counts["quota.unknown_buckets"])
    .toBe(STRANGERS * BUCKETS_PER_NOTICE);
  expect(entry.lines.filter((line) => line.includes("unknown"))).toHaveLength(
    1,
  );
});

// Guards against a quota that is charged again for all that another entry has
// served since its start.
test("the first report after the first document is a baseline", () => {
  const entry = new IsolatedEntry();
  entry.receive("other", { inn: 1000 });
  expect(entry.sync.isReachable("other")).toBe(true);
  entry.applyDocument();
  entry.receive("other", { inn: 1010 });
  entry.receive("other", { inn: 1012 });
  entry.sync.exchangeDirectly();
  expect(entry.charges).toEqual({ inn: 2 });
});
