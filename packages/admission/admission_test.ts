import { createSeededRandom } from "@heroncleat/base";
import * as fc from "fast-check";
import { ADMISSION_DEFAULTS, AdmissionController, RetryBudget } from "./mod.ts";

type Offer = Parameters<AdmissionController["offer"]>[0];

function createAdmission(capacity: number): AdmissionController {
  const admission = new AdmissionController(ADMISSION_DEFAULTS);
  admission.setCapacity(capacity);
  return admission;
}

function offer(token: string, options: Partial<Offer> = {}): Offer {
  return {
    token,
    workspace: "bistro",
    priority: "guest",
    deadlineAt: 1_000_000,
    ...options,
  };
}

describe("AdmissionController", () => {
  test("starts the more urgent request first within a workspace", () => {
    const admission = createAdmission(1);
    admission.offer(offer("running"), 0);
    admission.offer(offer("draft", { priority: "draft" }), 0);
    admission.offer(offer("icebreaker", { priority: "icebreaker" }), 0);
    admission.release("running", 10);
    expect(admission.startNext(10).map(({ token }) => token))
      .toEqual(["icebreaker"]);
  });

  test("gives a small workspace its share beside a large one", () => {
    const admission = createAdmission(4);
    const served = new Map<string, number>();
    const running: string[] = [];
    const recordStart = (token: string) => {
      running.push(token);
      const workspace = token.split("-")[0]!;
      served.set(workspace, (served.get(workspace) ?? 0) + 1);
    };
    for (let n = 0; n < 400; n += 1) {
      const workspace = n % 10 === 0 ? "small" : "large";
      // A higher priority must not raise the share of the large workspace.
      const priority = workspace === "large" ? "icebreaker" : "draft";
      const token = `${workspace}-${n}`;
      const decision = admission.offer(
        offer(token, { workspace, priority }),
        n,
      );
      if (decision.kind === "admitted") {
        recordStart(token);
      }
    }
    for (let step = 0; step < 60; step += 1) {
      admission.release(running.shift()!, 400 + step);
      for (const { token } of admission.startNext(400 + step)) {
        recordStart(token);
      }
    }
    expect(served.get("small")).toBeGreaterThan(20);
  });

  test("divides capacity by the weights of the workspaces", () => {
    const admission = createAdmission(1);
    const limit = (workspace: string, weight: number) => ({
      workspace,
      weight,
      maxRunning: 100,
      maxQueued: 1000,
    });
    admission.setLimits({ a: limit("a", 3), b: limit("b", 1) });
    admission.offer(offer("first", { workspace: "c" }), 0);
    for (let n = 0; n < 200; n += 1) {
      const workspace = n % 2 === 0 ? "a" : "b";
      admission.offer(offer(`${workspace}-${n}`, { workspace }), 0);
    }
    let last = "first";
    let fromA = 0;
    for (let n = 0; n < 80; n += 1) {
      admission.release(last, n);
      last = admission.startNext(n)[0]!.token;
      fromA += last.startsWith("a") ? 1 : 0;
    }
    expect(fromA / 80).toBeGreaterThan(0.7);
    expect(fromA / 80).toBeLessThan(0.8);
  });

  test("queues a small workspace while a large one is refused", () => {
    const admission = createAdmission(10);
    for (let n = 0; n < 10; n += 1) {
      admission.offer(offer(`large-${n}`, { workspace: "large" }), 0);
    }
    for (let n = 0; n < 10; n += 1) {
      admission.release(`large-${n}`, 2000);
      admission.offer(offer(`again-${n}`, { workspace: "large" }), 2000);
    }
    for (const workspace of ["a", "b", "c"]) {
      admission.offer(offer(workspace, { workspace }), 2000);
    }
    const small = offer("small", { workspace: "small" });
    expect(admission.offer(small, 2000).kind).toBe("queued");
    const more = ["x", "y", "z"].map((token) =>
      admission.offer(offer(token, { workspace: "large" }), 2000).kind
    );
    expect(more.at(-1)).toBe("refused");
  });

  test("limits the running and queued requests of a workspace", () => {
    const admission = createAdmission(10);
    admission.setLimits({
      bistro: { workspace: "bistro", weight: 1, maxRunning: 2, maxQueued: 1 },
    });
    const kinds = ["a", "b", "c", "d"].map((token) =>
      admission.offer(offer(token), 0).kind
    );
    expect(kinds).toEqual(["admitted", "admitted", "queued", "refused"]);
  });

  test("refuses a request that can't meet its deadline, with a retry delay", () => {
    const admission = createAdmission(1);
    admission.offer(offer("a"), 0);
    admission.release("a", 1000);
    admission.offer(offer("b"), 1000);
    admission.offer(offer("c", { priority: "draft" }), 1000);
    const late = admission.offer(
      offer("d", { priority: "draft", deadlineAt: 1500 }),
      1000,
    );
    expect(late).toMatchObject({
      kind: "refused",
      fault: { kind: "overloaded", run: "not-run", retryAfter: 1000 },
    });
  });

  test("refuses or expires requests at the longest wait of their priority", () => {
    const admission = createAdmission(1);
    admission.offer(offer("a"), 0);
    admission.release("a", 1000);
    admission.offer(offer("b"), 1000);
    const urgent = offer("guest", { priority: "guest" });
    expect(admission.offer(urgent, 1000).kind).toBe("refused");
    const patient = offer("draft", { priority: "draft" });
    expect(admission.offer(patient, 1000).kind).toBe("queued");
    expect(admission.expire(20_999)).toHaveLength(0);
    expect(admission.expire(21_000)).toHaveLength(1);
  });

  test("excludes idle time from the expected wait", () => {
    const admission = createAdmission(1);
    admission.offer(offer("a"), 0);
    admission.release("a", 10);
    admission.offer(offer("b"), 60_000);
    admission.release("b", 60_010);
    admission.offer(offer("c"), 120_000);
    const decision = admission.offer(
      offer("d", { deadlineAt: 120_100 }),
      120_000,
    );
    expect(decision.kind).toBe("queued");
  });

  test("starts each request at most once and stays within capacity", () => {
    let stepCount = 0;
    const step = fc.tuple(fc.nat(5), fc.nat(3), fc.nat(50));
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 40, maxLength: 120 }),
        (steps) => {
          const admission = createAdmission(3);
          const random = createSeededRandom(1);
          const waiting = new Set<string>();
          const running = new Set<string>();
          let now = 0;
          for (const [action, workspaceIndex, value] of steps) {
            stepCount += 1;
            now += value;
            if (action <= 2) {
              const token = `t${stepCount}`;
              const decision = admission.offer(
                offer(token, {
                  workspace: `w${workspaceIndex}`,
                  priority: random() < 0.5 ? "draft" : "guest",
                  deadlineAt: now + 200,
                }),
                now,
              );
              if (decision.kind === "admitted") {
                running.add(token);
              } else if (decision.kind === "queued") {
                waiting.add(token);
              }
            } else if (action === 3) {
              const [token] = running;
              running.delete(token ?? "");
              admission.release(token ?? "", now);
            } else if (action === 4) {
              for (const { token } of admission.expire(now)) {
                expect(waiting.delete(token)).toBe(true);
              }
            } else {
              const [token] = waiting;
              waiting.delete(token ?? "");
              admission.withdraw(token ?? "");
            }
            for (const { token } of admission.startNext(now)) {
              expect(waiting.delete(token)).toBe(true);
              running.add(token);
            }
            expect(admission.running).toBe(running.size);
            expect(admission.queued).toBe(waiting.size);
            expect(running.size).toBeLessThanOrEqual(3);
          }
        },
      ),
      { numRuns: 250, seed: 6 },
    );
    expect(stepCount).toBeGreaterThan(10_000);
  });
});

describe("RetryBudget", () => {
  test("limits retries to a share of first attempts", () => {
    const budget = new RetryBudget(0.2, 0);
    let retries = 0;
    for (let n = 0; n < 100; n += 1) {
      budget.recordFirstAttempt();
      retries += budget.tryConsume() ? 1 : 0;
    }
    expect(retries).toBeGreaterThanOrEqual(19);
    expect(retries).toBeLessThanOrEqual(20);
  });
});
