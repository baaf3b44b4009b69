import * as fc from "fast-check";
import { Ledger } from "./mod.ts";

const RUNS = Number(process.env["FUZZ_RUNS"] ?? 1) * 300;

function claim(key: string, attempt: string, digest = "d") {
  return {
    kind: "claim" as const,
    workspace: "bistro",
    key,
    digest,
    owner: "entry-1",
    attempt,
    at: 100,
    deadline: 200,
  };
}

describe("the claim of a key", () => {
  test("belongs to the first attempt; others receive its claim", () => {
    const ledger = new Ledger();
    expect(ledger.claim(claim("k", "a")).outcome).toBe("claimed");
    expect(ledger.claim(claim("k", "b")).outcome).toBe("exists");
    expect(ledger.claim(claim("k", "a")).outcome).toBe("claimed");
  });

  test("with another digest is a conflict", () => {
    const ledger = new Ledger();
    ledger.claim(claim("k", "a"));
    expect(ledger.claim(claim("k", "b", "other")).outcome).toBe("conflict");
  });

  test("is distinct from that of another workspace", () => {
    const ledger = new Ledger();
    ledger.claim({ ...claim("2:k", "a"), workspace: "a" });
    const other = { ...claim("k", "b"), workspace: "a:2" };
    expect(ledger.claim(other).outcome).toBe("claimed");
  });

  test("is kept for its retention, counted from the stored outcome", () => {
    const ledger = new Ledger();
    ledger.claim(claim("k", "a"));
    const outcome = { status: 200, contentType: "text/plain", body: "" };
    ledger.resolve({
      kind: "resolve",
      workspace: "bistro",
      key: "k",
      attempt: "a",
      state: "done",
      at: 5000,
      outcome,
    });
    ledger.expire({ kind: "expire", at: 5999, retention: 1000 });
    expect(ledger.find("bistro", "k")?.outcome).toEqual(outcome);
    ledger.expire({ kind: "expire", at: 6001, retention: 1000 });
    expect(ledger.find("bistro", "k")).toBeUndefined();
  });
});

const step = fc.record({
  kind: fc.constantFrom("claim", "claim", "done", "not_run", "restart"),
  key: fc.constantFrom("k1", "k2"),
  attempt: fc.constantFrom("a", "b", "c", "d"),
});

describe("claims in any order, repeated and over restarts", () => {
  test("allow one attempt per key to run", () => {
    let stepCount = 0;
    fc.assert(
      fc.property(fc.array(step, { minLength: 30, maxLength: 60 }), (steps) => {
        let ledger = new Ledger();
        const runs = new Map<string, string>();
        for (const { kind, key, attempt } of steps) {
          stepCount += 1;
          if (kind === "restart") {
            ledger = new Ledger(structuredClone(ledger.state));
          } else if (kind === "claim") {
            const reply = ledger.claim(claim(key, attempt));
            if (reply.outcome === "claimed") {
              expect(runs.get(key) ?? attempt).toBe(attempt);
              runs.set(key, attempt);
            }
          } else {
            const command = {
              kind: "resolve" as const,
              workspace: "bistro",
              key,
              attempt,
              state: kind,
              at: 1,
            };
            const previousState = ledger.find("bistro", key)?.state;
            ledger.resolve(command);
            // The attempt that holds the claim reports that it did not run.
            const isReleased = kind === "not_run" &&
              previousState === "claimed" &&
              runs.get(key) === attempt;
            if (isReleased) {
              runs.delete(key);
            }
          }
        }
      }),
      { numRuns: RUNS, seed: 72 },
    );
    expect(stepCount).toBeGreaterThan(10_000);
  });
});

describe("custody of a request", () => {
  const request = "e1~e2~token";
  const move = (owner: string, standby: string, options: {
    epoch: number;
    from: string;
  }) => ({
    kind: "custody" as const,
    requests: [request],
    expectedEpochs: [options.epoch],
    owner,
    standby,
    from: options.from,
    at: 0,
  });

  test("starts with the owner and standby of the request ID", () => {
    const custody = new Ledger().custodyOf(request);
    expect(custody).toMatchObject({ epoch: 1, owner: "e1", standby: "e2" });
  });

  test("goes to one of two concurrent claimants", () => {
    const ledger = new Ledger();
    const first = ledger.move(move("e2", "", { epoch: 1, from: "e2" }));
    const late = ledger.move(move("e1", "e3", { epoch: 1, from: "e1" }));
    expect(first.outcomes[0]?.moved).toBe(true);
    expect(late.outcomes[0]).toMatchObject({ moved: false, owner: "e2" });
  });

  test("returns the same reply to a repeated move", () => {
    const ledger = new Ledger();
    const command = move("e2", "", { epoch: 1, from: "e2" });
    expect(ledger.move(command)).toEqual(ledger.move(command));
  });

  test("is not moved by a command with an outdated epoch", () => {
    const ledger = new Ledger();
    ledger.move(move("e1", "e3", { epoch: 1, from: "e1" }));
    const late = ledger.move(move("e1", "e4", { epoch: 1, from: "e1" }));
    expect(late.outcomes[0]).toMatchObject({ moved: false, standby: "e3" });
  });

  test("can't be taken by an entry that isn't a holder", () => {
    const ledger = new Ledger();
    const reply = ledger.move(move("e9", "", { epoch: 1, from: "e9" }));
    expect(reply.outcomes[0]?.moved).toBe(false);
  });
});
