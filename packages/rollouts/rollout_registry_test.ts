import { planRollout } from "./plan_rollout.ts";
import type { RolloutProgress } from "./rollout_progress.ts";
import { RolloutRegistry } from "./rollout_registry.ts";
import { RolloutStage } from "./rollout_stage.ts";

const ORDER = { service: "desk", destination: "v2", duration: 12_000 };
const LIMITS = { exposureShare: 0.1, exposureTolerance: 50 };

function start(registry: RolloutRegistry, at: number, isInPlace = false): void {
  registry.apply({ kind: "start_rollout", order: ORDER, isInPlace, at });
}

function revert(registry: RolloutRegistry, at: number): void {
  const { service, revision } = registry.get("desk")!;
  const step = { stage: RolloutStage.reverted, share: 0, reason: "" };
  registry.apply({ kind: "move_rollout", service, revision, step, at });
}

test("an order is repeated, conflicts or starts anew", () => {
  const registry = new RolloutRegistry();
  const other = { ...ORDER, destination: "v3" };
  expect(registry.classify(ORDER, 0)).toBe("new");
  start(registry, 0);
  expect(registry.classify(ORDER, 4000)).toBe("repeated");
  expect(registry.classify(other, 4000)).toBe("conflicting");
  revert(registry, 5000);
  expect(registry.classify(ORDER, 6000)).toBe("repeated");
  expect(registry.classify(other, 6000)).toBe("new");
  expect(registry.classify(ORDER, 30_000)).toBe("new");
});

test("a step that names an earlier revision has no effect", () => {
  const registry = new RolloutRegistry();
  start(registry, 0);
  const { revision } = registry.get("desk")!;
  revert(registry, 5000);
  const step = { stage: RolloutStage.completed, share: 1, reason: "" };
  registry.apply({
    kind: "move_rollout",
    service: "desk",
    revision,
    step,
    at: 1,
  });
  expect(registry.get("desk")!.stage).toBe(RolloutStage.reverted);
});

test("a rollout survives a snapshot, and a reverted version is remembered", () => {
  const registry = new RolloutRegistry();
  start(registry, 0);
  revert(registry, 5000);
  const restored = new RolloutRegistry(
    JSON.parse(JSON.stringify(registry.list())),
  );
  expect(restored.revision).toBe(registry.revision);
  restored.apply({
    kind: "start_rollout",
    order: { ...ORDER, destination: "v3" },
    isInPlace: false,
    at: 9000,
  });
  expect(restored.get("desk")!.rejected).toEqual(["v2"]);
});

test("a version that all upstreams run is completed at once", () => {
  const registry = new RolloutRegistry();
  start(registry, 0, true);
  expect(registry.get("desk")!.stage).toBe(RolloutStage.completed);
});

// A leader that has just started knows few upstreams, perhaps new ones only.
test("an unproven version isn't completed while no other one is known", () => {
  const registry = new RolloutRegistry();
  start(registry, 0);
  const progress: RolloutProgress = {
    elapsed: 6000,
    stageElapsed: 6000,
    verdict: { state: "undecided", reason: "too few responses" },
    exposed: 0,
    sent: 0,
    destinationSlots: 40,
    otherSlots: 0,
    isDrained: true,
  };
  const step = planRollout(registry.get("desk")!, { progress, limits: LIMITS });
  expect(step?.stage).not.toBe(RolloutStage.completed);
});
