import type { Milliseconds } from "@heroncleat/base";
import { exchangeInterval } from "@heroncleat/serving";
import { SimulatedExchange } from "./simulated_exchange.ts";

const DEPLOYMENT_SIZES = [
  { entries: 12, upstreams: 18, workspaces: 5 },
  { entries: 30, upstreams: 30, workspaces: 10 },
  { entries: 100, upstreams: 78, workspaces: 19 },
  { entries: 200, upstreams: 78, workspaces: 19 },
  { entries: 300, upstreams: 400, workspaces: 60 },
  { entries: 1000, upstreams: 1600, workspaces: 400 },
];
const ENTRY_REQUESTS_PER_SECOND = 2;
const SETTLE_TIME: Milliseconds = 2000;
const MEASURED_TIME: Milliseconds = 3000;
/** Restarted processes start at even intervals within this time. */
const START_WINDOW: Milliseconds = 300;
/**
 * Interval between changes of the configuration document in the `storm` phase.
 */
const STORM_CHANGE_INTERVAL: Milliseconds = 100;

/** Costs of the state exchange for one process of a role. */
type ExchangeCost = {
  readonly role: "replica" | "entry";
  readonly phase: "steady" | "opening" | "power" | "storm";
  readonly entries: number;
  readonly upstreams: number;
  /** Processor time, as a share of one core. */
  readonly cores: number;
  /** Bytes sent and received per second. */
  readonly bytesPerS: number;
  /** Processor time per exchange, in ms. */
  readonly callMs: number;
};

/** Measures the state exchange at every deployment size, in all phases. */
export function* measureExchange(): Iterable<ExchangeCost> {
  for (const size of DEPLOYMENT_SIZES) {
    const exchange = new SimulatedExchange({
      ...size,
      requestsPerSecond: size.entries * ENTRY_REQUESTS_PER_SECOND,
      interval: exchangeInterval.full(size.entries),
    });
    exchange.run(SETTLE_TIME);
    yield* measurePhase(exchange, size, "steady");
    exchange.restartEntries(START_WINDOW);
    yield* measurePhase(exchange, size, "opening");
    exchange.restartDeployment(START_WINDOW);
    yield* measurePhase(exchange, size, "power");
    let changedAt = 0;
    let elapsed = 0;
    yield* measurePhase(exchange, size, "storm", () => {
      elapsed += 10;
      if (elapsed - changedAt >= STORM_CHANGE_INTERVAL) {
        changedAt = elapsed;
        exchange.changeDocument();
      }
    });
  }
}

function* measurePhase(
  exchange: SimulatedExchange,
  size: { entries: number; upstreams: number },
  phase: ExchangeCost["phase"],
  onStep?: () => void,
): Iterable<ExchangeCost> {
  exchange.takeUsage();
  exchange.run(MEASURED_TIME, onStep);
  const usage = exchange.takeUsage();
  const { entries, upstreams } = size;
  const seconds = MEASURED_TIME / 1000;
  const bytes = usage.replyBytes + usage.requestBytes;
  yield {
    role: "replica",
    phase,
    entries,
    upstreams,
    cores: usage.replicaSeconds / seconds,
    bytesPerS: bytes / seconds,
    callMs: usage.replicaSeconds * 1000 / usage.calls,
  };
  yield {
    role: "entry",
    phase,
    entries,
    upstreams,
    cores: usage.entrySeconds / seconds / entries,
    bytesPerS: bytes / seconds / entries,
    callMs: usage.entrySeconds * 1000 / usage.calls,
  };
}
