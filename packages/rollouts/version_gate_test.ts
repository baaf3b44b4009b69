import type { Rollout } from "./rollout.ts";
import { RolloutStage } from "./rollout_stage.ts";
import { VersionGate } from "./version_gate.ts";
import type { VersionedUpstream } from "./versioned_upstream.ts";

const REQUESTS = 10_000;

function upstream(version: string, index: number, isCold = false) {
  return {
    record: {
      id: `${version}-${index}`,
      service: "desk",
      state: "ready",
      version,
      isCold,
    },
  };
}

function rollout(part: Partial<Rollout>): Rollout {
  return {
    service: "desk",
    destination: "v2",
    rejected: [],
    duration: 12_000,
    startedAt: 0,
    stage: RolloutStage.canary,
    share: 0.2,
    stageAt: 0,
    revision: 1,
    reason: "",
    ...part,
  };
}

const OLD = Array.from({ length: 10 }, (_, index) => upstream("v1", index));
const NEW = Array.from({ length: 10 }, (_, index) => upstream("v2", index));

/** Numbers of requests by upstream, each taking the first that is admitted. */
function play(
  gate: VersionGate,
  upstreams: readonly VersionedUpstream[],
  isRetry = false,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (let at = 0; at < REQUESTS; at += 1) {
    const filters = gate.admit("desk", {
      now: 0,
      upstreams: () => upstreams,
      isRetry,
      random: at / REQUESTS,
    }) ?? [() => true];
    let id = "none";
    for (const isAdmitted of filters) {
      const admitted = upstreams.filter(isAdmitted);
      if (admitted.length > 0) {
        id = admitted[at % admitted.length]!.record.id;
        break;
      }
    }
    counts[id] = (counts[id] ?? 0) + 1;
  }
  return counts;
}

function countOf(counts: Record<string, number>, version: string): number {
  return Object.entries(counts).filter(([id]) => id.startsWith(version))
    .reduce((sum, [, count]) => sum + count, 0);
}

function gateWith(part: Partial<Rollout>): VersionGate {
  const gate = new VersionGate();
  gate.merge([rollout(part)]);
  return gate;
}

test("a canary gives few upstreams the load of one of the old version", () => {
  const counts = play(gateWith({}), [...OLD, ...NEW]);
  expect(countOf(counts, "v2")).toBe(REQUESTS * 0.2);
  expect(Object.keys(counts).filter((id) => id.startsWith("v2")).length)
    .toBe(2);
});

test("a canary gives nothing to cold upstreams, and serves all requests", () => {
  const cold = NEW.map((_, index) => upstream("v2", index, true));
  const counts = play(gateWith({}), [...OLD, ...cold]);
  expect(countOf(counts, "v1")).toBe(REQUESTS);
});

test("a second attempt never goes to a canary", () => {
  const counts = play(gateWith({}), [...OLD, ...NEW], true);
  expect(countOf(counts, "v2")).toBe(0);
});

test("a reverted version gets nothing, also during a later rollout", () => {
  const reverted = gateWith({ stage: RolloutStage.reverted, share: 0 });
  expect(countOf(play(reverted, [...OLD, ...NEW]), "v2")).toBe(0);
  expect(countOf(play(reverted, NEW), "none")).toBe(REQUESTS);
  const later = gateWith({ destination: "v3", rejected: ["v2"] });
  expect(countOf(play(later, [...OLD, ...NEW]), "v2")).toBe(0);
});

test("the full stage uses the new version, and the old one without it", () => {
  const full = gateWith({ stage: RolloutStage.full, share: 1 });
  expect(countOf(play(full, [...OLD, ...NEW]), "v2")).toBe(REQUESTS);
  expect(countOf(play(full, OLD), "v1")).toBe(REQUESTS);
});

test("after a rollout, versions that come later are served like any", () => {
  const gate = new VersionGate();
  [...OLD, ...NEW].forEach((each) => gate.observe(each, 0));
  gate.merge([rollout({ stage: RolloutStage.completed, share: 1 })]);
  const later = Array.from({ length: 10 }, (_, index) => upstream("v3", index));
  const counts = play(gate, [...OLD, ...NEW, ...later]);
  expect(countOf(counts, "v1")).toBe(0);
  expect(countOf(counts, "v3")).toBe(REQUESTS / 2);
});

test("a replica that lags behind another one changes nothing", () => {
  const gate = gateWith({ stage: RolloutStage.reverted, revision: 7 });
  gate.merge([rollout({ revision: 6 })]);
  expect(countOf(play(gate, [...OLD, ...NEW]), "v2")).toBe(0);
});

test("a version that appears beside another one is held back at first", () => {
  const gate = new VersionGate();
  OLD.forEach((each) => gate.observe(each, 0));
  NEW.forEach((each) => gate.observe(each, 5000));
  const admit = (now: number) =>
    gate.admit("desk", {
      now,
      upstreams: () => NEW,
      isRetry: false,
      random: 0,
    });
  expect(admit(5100)![0]!(NEW[0]!)).toBe(false);
  expect(admit(5100)![0]!(OLD[0]!)).toBe(true);
  expect(admit(7000)).toBeUndefined();
});

test.each([RolloutStage.canary, RolloutStage.widened, RolloutStage.full])(
  "a version that an entry has just seen gets nothing at the %s stage",
  (stage) => {
    const gate = new VersionGate();
    gate.observe(OLD[0]!, 0);
    gate.observe(NEW[0]!, 10_000);
    gate.merge([rollout({ stage, share: 1 })]);
    const admitsNew = (now: number) => {
      const filters = gate.admit("desk", {
        now,
        upstreams: () => [...OLD, ...NEW],
        isRetry: false,
        random: 0,
      })!;
      const first = filters.find((isAdmitted) =>
        [...OLD, ...NEW].some(isAdmitted)
      )!;
      return NEW.some(first);
    };
    expect(admitsNew(11_000)).toBe(false);
    expect(admitsNew(12_000)).toBe(true);
  },
);
