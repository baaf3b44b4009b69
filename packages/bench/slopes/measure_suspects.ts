import { createHash, randomBytes } from "node:crypto";
import { RevisionCounter, SuspectRegistry } from "@heroncleat/serving";

/** Costs of a registry with a number of suspects. */
type SuspectCost = {
  /**
   * Time to look up a request whose size matches no suspect, or some suspect.
   */
  readonly sizeMissNanoseconds: number;
  readonly sizeMatchMicroseconds: number;
  /** Time to assess all suspects after another crash. */
  readonly assessMilliseconds: number;
  /** Size of a full report of all suspects. */
  readonly fullReportKilobytes: number;
};

const LOOKUP_COUNT = 20_000;
const CRASH_COUNT = 50;
const UPSTREAM_COUNT = 400;
const BODY_BYTES = 2000;
const WORKSPACE_COUNT = 10;

/**
 * Records two crashes for each of a number of suspects and measures the costs
 * of the registry.
 */
export function measureSuspects(suspectCount: number): SuspectCost {
  const registry = new SuspectRegistry({
    revisions: new RevisionCounter(),
    countUpstreams: () => UPSTREAM_COUNT,
  });
  const recordCrash = (request: number, upstream: string, at: number) =>
    registry.recordCrash({
      request: hashBody(Buffer.from(`${request}`)),
      workspace: `w${request % WORKSPACE_COUNT}`,
      service: "desk",
      size: BODY_BYTES,
    }, { upstream, sentAt: at, endedAt: at + 50 });
  for (let index = 0; index < 2 * suspectCount; index += 1) {
    recordCrash(index % suspectCount, `u${index}`, 10 * index);
  }
  const now = 20 * suspectCount + 1000;
  const body = randomBytes(BODY_BYTES);
  return {
    sizeMissNanoseconds:
      timePerCall(LOOKUP_COUNT, () => registry.hasSuspectOfSize(1)) * 1e6,
    sizeMatchMicroseconds: timePerCall(LOOKUP_COUNT, () => {
      if (registry.hasSuspectOfSize(BODY_BYTES)) {
        registry.statusOf(hashBody(body), now);
      }
    }) * 1000,
    assessMilliseconds: suspectCount === 0
      ? 0
      : timePerCall(CRASH_COUNT, (index) => {
        recordCrash(index % suspectCount, `v${index}`, now + index);
        registry.statusOf(hashBody(Buffer.from("0")), now + 1000);
      }),
    fullReportKilobytes: JSON.stringify(registry.changesSince(0, now)).length /
      1024,
  };
}

function hashBody(bytes: Buffer): string {
  return createHash("sha256").update(bytes).digest("hex").slice(0, 32);
}

/** Returns the mean time of a call in ms. */
function timePerCall(calls: number, call: (index: number) => void): number {
  const startedAt = performance.now();
  for (let index = 0; index < calls; index += 1) {
    call(index);
  }
  return (performance.now() - startedAt) / calls;
}
