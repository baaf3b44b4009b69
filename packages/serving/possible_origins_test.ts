import { PossibleOrigins } from "./possible_origins.ts";
import { RevisionCounter } from "./revision_counter.ts";
import type { Route } from "./route.ts";
import { RouteKind } from "./route_kind.ts";
import { STREAM_RETENTION } from "./stream_retention.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import { VersionLog } from "./version_log.ts";

const route: Route = {
  name: "r",
  host: "h",
  pathPrefix: "/",
  kind: RouteKind.streaming,
  targets: [{ service: "desk", weight: 1 }],
  timeout: 15_000,
  latencyObjective: 1000,
  priority: 0,
  maxAttempts: 2,
  isPublic: true,
  isResumable: true,
};
const origin = { service: "desk", version: "v1" };

const record = (version: string | undefined): UpstreamRecord => ({
  id: "u",
  name: "u",
  born: undefined,
  service: "desk",
  address: "u:1",
  zone: "a",
  version,
  slots: 1,
  sequence: 1,
  state: "ready",
  isSpot: false,
  leavesIn: undefined,
});

/** A replica that has observed version v1 for the whole retention. */
function createLog(): VersionLog {
  const log = new VersionLog(new RevisionCounter());
  log.expire(0);
  log.observe(record("v1"), STREAM_RETENTION);
  log.expire(STREAM_RETENTION);
  return log;
}

/** What an entry knows that has had the route and the replica for as long. */
function createPossible(log = createLog()): PossibleOrigins {
  const possible = new PossibleOrigins();
  possible.applyRoutes([route], 0);
  possible.applyReply("a", log.since(0), STREAM_RETENTION);
  return possible;
}

test("the only version of the retention is the only origin", () => {
  expect(createPossible().only(route, STREAM_RETENTION)).toEqual(origin);
});

test("upstreams without a version share one of their own", () => {
  const log = createLog();
  log.observe(record(undefined), STREAM_RETENTION);
  expect(createPossible(log).only(route, STREAM_RETENTION)).toBeUndefined();
});

test("a second version counts until no stream that it began can go on", () => {
  const log = createLog();
  log.observe(record("v2"), STREAM_RETENTION);
  const end = STREAM_RETENTION * 2;
  log.observe(record("v1"), end);
  log.expire(end);
  expect(createPossible(log).only(route, STREAM_RETENTION)).toBeUndefined();
  const later = end + 10_001;
  log.observe(record("v1"), later);
  log.expire(later);
  const possible = createPossible(log);
  possible.applyReply("a", undefined, later);
  expect(possible.only(route, later)).toEqual(origin);
});

test("a version that any replica has observed counts", () => {
  const possible = createPossible();
  const other = new VersionLog(new RevisionCounter());
  other.observe(record("v2"), 0);
  possible.applyReply("b", other.since(0), STREAM_RETENTION);
  expect(possible.only(route, STREAM_RETENTION)).toBeUndefined();
});

// Guards against streams resumed at another version at an entry that had heard
// of theirs from a replica which has lost its memory since.
test("a version that a replica listed before it restarted counts", () => {
  const possible = createPossible();
  const second = new VersionLog(new RevisionCounter());
  second.observe(record("v2"), STREAM_RETENTION);
  possible.applyReply("b", second.since(0), STREAM_RETENTION);
  const restarted = new VersionLog(new RevisionCounter());
  possible.applyReply("b", restarted.since(0), STREAM_RETENTION + 10);
  expect(possible.only(route, STREAM_RETENTION + 10)).toBeUndefined();
});

test("replicas that have all just started may lack a version", () => {
  const log = new VersionLog(new RevisionCounter());
  log.observe(record("v1"), STREAM_RETENTION);
  log.expire(STREAM_RETENTION);
  expect(createPossible(log).only(route, STREAM_RETENTION)).toBeUndefined();
});

test("a replica that hasn't replied for long vouches for nothing", () => {
  const possible = createPossible();
  expect(possible.only(route, STREAM_RETENTION + 5000)).toBeUndefined();
});

test.each([
  ["leads to several services", [
    { service: "desk", weight: 1 },
    { service: "bar", weight: 1 },
  ]],
  ["has just been moved", [{ service: "bar", weight: 1 }]],
])("a route that %s has no only origin", (_name, targets) => {
  const possible = createPossible();
  const changed = { ...route, targets };
  possible.applyRoutes([changed], STREAM_RETENTION);
  expect(possible.only(changed, STREAM_RETENTION + 1000)).toBeUndefined();
});

test("a target without weight doesn't count", () => {
  const possible = createPossible();
  const targets = [...route.targets, { service: "bar", weight: 0 }];
  possible.applyRoutes([{ ...route, targets }], STREAM_RETENTION);
  expect(possible.only({ ...route, targets }, STREAM_RETENTION))
    .toEqual(origin);
});

test("a route whose streams may outlast the retention has no only origin", () => {
  const long = { ...route, timeout: STREAM_RETENTION / 2 };
  expect(createPossible().only(long, STREAM_RETENTION)).toBeUndefined();
});

test("an entry that has just started adopts what another one has known", () => {
  const possible = new PossibleOrigins();
  possible.applyRoutes([route], STREAM_RETENTION);
  possible.applyReply("a", createLog().since(0), STREAM_RETENTION);
  expect(possible.only(route, STREAM_RETENTION)).toBeUndefined();
  possible.adopt(route, origin);
  expect(possible.only(route, STREAM_RETENTION)).toEqual(origin);
});

test("versions are sent once, and again when they change", () => {
  const log = createLog();
  const revisions = new RevisionCounter();
  const fresh = new VersionLog(revisions);
  fresh.observe(record("v1"), 0);
  expect(fresh.since(revisions.value)).toBeUndefined();
  fresh.observe(record("v1"), 1000);
  expect(fresh.since(revisions.value)).toBeUndefined();
  const revision = revisions.value;
  fresh.observe(record("v2"), 2000);
  expect(fresh.since(revision)?.versions).toEqual({ desk: ["v1", "v2"] });
  expect(log.since(0)?.isComplete).toBe(true);
});
