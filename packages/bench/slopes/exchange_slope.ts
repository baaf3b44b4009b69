import type { Milliseconds } from "@heroncleat/base";
import { exchangeInterval } from "@heroncleat/serving";
import { SimulatedExchange } from "./simulated_exchange.ts";

/** Upstreams and workspaces that go with a number of entries. */
const SIZES = [
  { entries: 12, upstreams: 18, workspaces: 5 },
  { entries: 30, upstreams: 30, workspaces: 10 },
  { entries: 100, upstreams: 78, workspaces: 19 },
  { entries: 200, upstreams: 78, workspaces: 19 },
  { entries: 300, upstreams: 400, workspaces: 60 },
  { entries: 1000, upstreams: 1600, workspaces: 400 },
];
/** Requests that one entry takes in a second. */
const REQUESTS_PER_ENTRY = 2;
const SETTLE: Milliseconds = 2000;
const MEASURED: Milliseconds = 3000;
/** All processes of a deployment start within this time. */
const STARTED_WITHIN: Milliseconds = 300;
/** Pause between two changes of the document during a storm of them. */
const STORM_PAUSE: Milliseconds = 100;

/** What one process of a role spends on the exchange. */
type ExchangeCost = {
  readonly role: "replica" | "entry";
  readonly phase: "steady" | "opening" | "power" | "storm";
  readonly entries: number;
  readonly upstreams: number;
  /** Of one core. */
  readonly cores: number;
  /** Sent and received. */
  readonly bytesPerS: number;
  /** Processor time of one exchange, in ms. */
  readonly callMs: number;
};

/** Measures the exchange at every size, in all phases. */
export function* measureExchange(): Iterable<ExchangeCost> {
  for (const size of SIZES) {
    const group = new SimulatedExchange({
      ...size,
      requestsPerSecond: size.entries * REQUESTS_PER_ENTRY,
      pause: exchangeInterval.full(size.entries),
    });
    group.run(SETTLE);
    yield* measure(group, size, "steady");
    group.restartEntries(STARTED_WITHIN);
    yield* measure(group, size, "opening");
    group.losePower(STARTED_WITHIN);
    yield* measure(group, size, "power");
    let changedAt = 0;
    let passed = 0;
    yield* measure(group, size, "storm", () => {
      passed += 10;
      if (passed - changedAt >= STORM_PAUSE) {
        changedAt = passed;
        group.changeDocument();
      }
    });
  }
}

function* measure(
  group: SimulatedExchange,
  size: { entries: number; upstreams: number },
  phase: ExchangeCost["phase"],
  eachStep?: () => void,
): Iterable<ExchangeCost> {
  group.take();
  group.run(MEASURED, eachStep);
  const spent = group.take();
  const { entries, upstreams } = size;
  const seconds = MEASURED / 1000;
  const bytes = spent.replyBytes + spent.requestBytes;
  yield {
    role: "replica",
    phase,
    entries,
    upstreams,
    cores: spent.replicaSeconds / seconds,
    bytesPerS: bytes / seconds,
    callMs: spent.replicaSeconds * 1000 / spent.calls,
  };
  yield {
    role: "entry",
    phase,
    entries,
    upstreams,
    cores: spent.entrySeconds / seconds / entries,
    bytesPerS: bytes / seconds / entries,
    callMs: spent.entrySeconds * 1000 / spent.calls,
  };
}
