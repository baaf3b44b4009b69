import { connect } from "node:net";
import { createSystemClock } from "@heroncleat/base";
import {
  RateLimitRegistry,
  ReturnTimes,
  RevisionCounter,
  SendPermits,
  SuspectRegistry,
  UpstreamBalancer,
  UpstreamDirectory,
  UpstreamStatements,
} from "@heroncleat/serving";
import { LoadShedder } from "@heroncleat/shedding";
import { BodyMemory } from "../common/body_memory.ts";
import { RateLimitWatcher } from "../common/rate_limit_watcher.ts";
import { probeUpstream } from "../common/probe_upstream.ts";
import { StatementWatcher } from "../common/statement_watcher.ts";
import { SuspectWatcher } from "../common/suspect_watcher.ts";
import { DepartureDeadline } from "./shutdown/departure_deadline.ts";
import type { ForwardContext } from "./forward_context.ts";
import { PermitClient } from "./limits/permit_client.ts";
import { refusesConnections } from "../common/refuses_connections.ts";
import { ReachabilityWatcher } from "./relay/reachability_watcher.ts";
import { RetryLimiter } from "./limits/retry_limiter.ts";
import { RolloutWatcher } from "./exchange/rollout_watcher.ts";
import { testHeaderNames as names } from "./test_header_names.ts";
import { UpstreamAgent } from "./upstreams/upstream_agent.ts";

/** Allow more retries than a test sends. */
const RETRY_SETTINGS = { retryRatio: 1, retryWindow: 10_000, retrySlack: 99 };

/** The addresses of a test's upstreams; the first is in the entry's zone. */
type TestUpstreams = readonly { readonly address: string }[];

/**
 * Creates the forwarding state of an entry without control replicas.
 *
 * @param onClose Collects what must be called at the end of the test.
 */
export function createTestContext(
  upstreams: TestUpstreams,
  onClose: (close: () => void) => void,
): ForwardContext {
  const statements = new UpstreamStatements(() => 0.5);
  const directory = new UpstreamDirectory((id) => statements.leavingSince(id));
  const agents = new Map<string, UpstreamAgent>();
  upstreams.forEach(({ address }, at) => {
    directory.merge({
      id: `u${at}`,
      name: `u${at}`,
      born: undefined,
      service: "desk",
      address,
      // The first is in the same zone, so it is chosen first.
      zone: at === 0 ? "a" : "b",
      slots: 4,
      sequence: 1,
      state: "ready",
      isSpot: false,
      leavesIn: undefined,
    }, 0);
    const agent = new UpstreamAgent(() => 16, connect);
    agents.set(`u${at}`, agent);
    onClose(() => agent.destroy());
  });
  const silentLog = { debug() {}, info() {}, warn() {}, error() {} };
  const clock = createSystemClock();
  const limits = new RateLimitRegistry(new RevisionCounter());
  const permits = new SendPermits({
    limits,
    entry: "entry",
    trueTime: (monotonic) => monotonic,
  });
  const noMetrics = { increment() {}, gauge() {}, timing() {}, close() {} };
  const rateLimits = new RateLimitWatcher({
    registry: limits,
    header: names.rateLimit,
    rejectionHeader: names.rejectionLimit,
    clock,
    trueTime: (monotonic) => monotonic,
    log: silentLog,
    metrics: noMetrics,
    report: () => {},
  });
  return {
    names,
    clock,
    log: silentLog,
    metrics: noMetrics,
    bodies: new BodyMemory(clock),
    statements,
    statementWatcher: new StatementWatcher({
      statements,
      rateLimits,
      leavingHeader: names.leaving,
      clock,
      log: silentLog,
      metrics: noMetrics,
      onLeaving: (id) => directory.applyLeaving(id),
    }),
    permits,
    permitClient: new PermitClient({
      entry: "entry",
      permits,
      limits,
      clock,
      metrics: noMetrics,
      call: () => Promise.resolve(undefined),
    }),
    returnTimesOf: () => new ReturnTimes(() => 0),
    rollouts: new RolloutWatcher({
      clock,
      listUpstreams: () => directory.list(),
      random: () => 0,
    }),
    leaving: new DepartureDeadline(clock),
    reachability: new ReachabilityWatcher({
      clock,
      log: silentLog,
      metrics: noMetrics,
      listUpstreams: () => directory.list(),
      probe: probeUpstream,
      onChange: () => {},
      closeIdle: () => {},
      random: Math.random,
    }),
    relay: undefined,
    crashes: new SuspectWatcher({
      registry: new SuspectRegistry({
        revisions: new RevisionCounter(),
        countUpstreams: () => upstreams.length,
      }),
      clock,
      log: silentLog,
      metrics: noMetrics,
      probe: () => Promise.resolve(true),
      isReplaced: () => false,
      serviceOf: () => undefined,
      onCrash: () => {},
      report: () => {},
    }),
    zone: "a",
    choice: new UpstreamBalancer({ statements, drainTimeout: () => 2000 }),
    shedder: new LoadShedder({ random: () => 0 }),
    directory,
    refusesConnections: (address, hold) =>
      refusesConnections(address, { hold }),
    agentOf: (id) => agents.get(id)!,
    retries: new RetryLimiter({
      settings: () => RETRY_SETTINGS,
      clock,
      log: silentLog,
      metrics: noMetrics,
      share: { value: () => 1, entries: 1 },
    }),
    isSynced: () => false,
    syncAge: () => 0,
    engineOf: () => undefined,
    announceDispatch: () => {},
    reportFailure: () => {},
    breaks: { recordBreak: () => {}, recordRefusal: () => {} },
    recordStream: () => {},
    countUsage: () => {},
  };
}
