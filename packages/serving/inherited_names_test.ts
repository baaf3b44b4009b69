import type { DemandRow } from "@heroncleat/shedding";
import { CounterReport } from "./counter_report.ts";
import { DemandTotals } from "./demand_totals.ts";
import { drainAgeOf } from "./drain_age_of.ts";
import { EntryMedians } from "./entry_medians.ts";
import { FollowedUpstreams } from "./followed_upstreams.ts";
import { Hub } from "./hub.ts";
import { ChargeTotals } from "./charge_totals.ts";
import { LoadTotals } from "./load_totals.ts";
import { PossibleOrigins } from "./possible_origins.ts";
import { RevisionCounter } from "./revision_counter.ts";
import type { Route } from "./route.ts";
import { RouteKind } from "./route_kind.ts";
import { STREAM_RETENTION } from "./stream_retention.ts";
import { testRecord } from "./test_record.ts";
import { VersionLog } from "./version_log.ts";

/** What peers receive of a message. */
function transmit<Message>(message: Message): Message {
  return JSON.parse(JSON.stringify(message)) as Message;
}

const ROUTE: Route = {
  name: "r",
  host: "h",
  pathPrefix: "/",
  kind: RouteKind.streaming,
  targets: [],
  timeout: 15_000,
  latencyObjective: 1000,
  priority: 0,
  maxAttempts: 2,
  isPublic: true,
  isResumable: true,
};

// Guards against services, workspaces and upstreams whose names are those of
// fields that each object inherits.
describe.each(["constructor", "__proto__", "toString"])(
  "the name %s",
  (name) => {
    test("of an upstream has a load", () => {
      const totals = new LoadTotals(new RevisionCounter());
      totals.update("entry-1", {});
      const load = { requests: 3, backlog: 20 };
      totals.update("entry-1", Object.fromEntries([[name, load]]));
      const sums = transmit(totals.sumExcluding("entry-2"));
      expect(Object.entries(sums)).toEqual([[name, load]]);
      totals.update("entry-2", {});
      totals.update("entry-1", {});
      expect(Object.entries(totals.sumExcluding("entry-2"))).toEqual([]);
    });

    test("of an upstream has no age where none is stated", () => {
      const hub = new Hub("feed-1");
      const record = testRecord({ id: name, name, state: "draining" });
      hub.mergeFeed(
        {
          feed: "feed-2",
          revision: 1,
          upstreams: [record],
          beats: {},
          ages: {},
          drainAges: {},
          usage: undefined,
        },
        5000,
        { reporter: "replica-2" },
      );
      expect(hub.directory.get(name)?.receivedAt).toBe(5000);
      expect(drainAgeOf(record, { drainAges: {}, transit: 5 })).toBeUndefined();
    });

    test("of a service has a followed share", () => {
      const followed = new FollowedUpstreams();
      const upstreams = Array.from({ length: 300 }, (_, index) => ({
        record: testRecord({
          id: `u${index}`,
          name: `u${index}`,
          service: name,
        }),
      })) as unknown as ReturnType<Parameters<FollowedUpstreams["count"]>[0]>;
      followed.count(() => upstreams, 0);
      expect(Object.entries(transmit(followed.shares))).toEqual([[name, 0.5]]);
      expect(followed.hasGrown(transmit(followed.shares))).toBe(false);
      expect(followed.differs({})).toBe(true);
    });

    test("of a service has versions", () => {
      const log = new VersionLog(new RevisionCounter());
      log.observe(testRecord({ service: name, version: "v1" }), 0);
      const origins = new PossibleOrigins();
      const route = { ...ROUTE, targets: [{ service: name, weight: 1 }] };
      origins.applyRoutes([route], 0);
      const now = STREAM_RETENTION;
      const nothing = { versions: {}, isComplete: true };
      origins.applyReply("replica-1", nothing, now);
      expect(origins.only(route, now)).toBeUndefined();
      origins.applyReply("replica-1", transmit(log.since(0)), now);
      origins.applyReply("replica-2", nothing, now);
      expect(origins.only(route, now)).toEqual({
        service: name,
        version: "v1",
      });
    });

    test("of a service has demand and a prefill speed", () => {
      const row: DemandRow = {
        priority: 1,
        workspace: "inn",
        asked: 10,
        admitted: 5,
      };
      const demand = new DemandTotals();
      demand.update("entry-1", Object.fromEntries([[name, [row]]]));
      expect(Object.entries(transmit(demand.sums(0) ?? {}))).toEqual([
        [name, [row]],
      ]);
      const readingSpeeds = Object.fromEntries([[name, 2]]);
      const entry = { readingSpeeds, receivedAt: 0, wallOffset: 0 };
      const medians = new EntryMedians(new Map([["entry-1", entry]]), 1000);
      expect(Object.entries(transmit(medians.readingSpeeds(0)))).toEqual([
        [name, 2],
      ]);
    });

    test("of a workspace has charges", () => {
      const report = new CounterReport();
      const counters = (total: number) => ({
        spent: Object.fromEntries([[name, total]]),
        readWork: {},
        usage: {},
      });
      report.build("feed-1", counters(0));
      report.handleReply({ feed: "feed-1", takesPartial: true });
      const { spent, digest } = transmit(report.build("feed-1", counters(7)));
      expect(Object.entries(spent)).toEqual([[name, 7]]);
      const totals = new ChargeTotals();
      totals.applyReport("entry-1", { boot: "1", ...counters(0) }, 0);
      const isAccepted = totals.applyReport(
        "entry-1",
        { boot: "1", isPartial: true, spent, ...(digest && { digest }) },
        0,
      );
      expect(isAccepted).toBe(true);
      const sums = transmit(totals.sumExcluding("entry-2"));
      expect(Object.entries(sums)).toEqual([[name, 7]]);
    });
  },
);
