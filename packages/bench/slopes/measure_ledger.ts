import { createToken } from "@heroncleat/base";
import { Ledger } from "@heroncleat/ledger";

/** Costs of claims at a control replica. */
type LedgerCost = {
  readonly bytesPerClaim: number;
  readonly microsecondsPerClaim: number;
  readonly snapshotMilliseconds: number;
};

const OUTCOME = { status: 200, contentType: "application/json", body: "" };

/** Claims and resolves a number of keys and measures the time and memory. */
export function measureLedger(claimCount: number): LedgerCost {
  const before = readHeapBytes();
  const ledger = new Ledger();
  const startedAt = performance.now();
  for (let index = 0; index < claimCount; index += 1) {
    const key = createToken();
    const attempt = createToken();
    const common = { workspace: "bistro", key, attempt, at: index };
    ledger.claim({
      kind: "claim",
      ...common,
      digest: createToken(),
      owner: "entry-1",
      deadline: index + 60_000,
    });
    ledger.resolve({
      kind: "resolve",
      ...common,
      state: "done",
      outcome: OUTCOME,
    });
  }
  const elapsed = performance.now() - startedAt;
  const bytesPerClaim = (readHeapBytes() - before) / claimCount;
  const snapshotAt = performance.now();
  JSON.stringify(ledger.state);
  return {
    bytesPerClaim,
    microsecondsPerClaim: elapsed / claimCount * 1000,
    snapshotMilliseconds: performance.now() - snapshotAt,
  };
}

function readHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
