import { createToken } from "@heroncleat/base";
import { Ledger } from "@heroncleat/ledger";

/** What claims cost a replica. */
type LedgerCost = {
  readonly bytesEach: number;
  readonly microsecondsEach: number;
  readonly snapshotMilliseconds: number;
};

const OUTCOME = { status: 200, contentType: "application/json", body: "" };

/** Claims and resolves a number of keys and measures time and memory. */
export function measureLedger(claims: number): LedgerCost {
  const before = heapUsed();
  const ledger = new Ledger();
  const startedAt = performance.now();
  for (let place = 0; place < claims; place += 1) {
    const key = createToken();
    const attempt = createToken();
    const common = { workspace: "bistro", key, attempt, at: place };
    ledger.claim({
      kind: "claim",
      ...common,
      digest: createToken(),
      owner: "entry-1",
      deadline: place + 60_000,
    });
    ledger.resolve({
      kind: "resolve",
      ...common,
      state: "done",
      outcome: OUTCOME,
    });
  }
  const taken = performance.now() - startedAt;
  const bytesEach = (heapUsed() - before) / claims;
  const snapshotAt = performance.now();
  JSON.stringify(ledger.state);
  return {
    bytesEach,
    microsecondsEach: taken / claims * 1000,
    snapshotMilliseconds: performance.now() - snapshotAt,
  };
}

function heapUsed(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
