import { createSeededRandom, type Milliseconds } from "@heroncleat/base";
import { exchangeInterval } from "@heroncleat/serving";
import { VirtualTime } from "../virtual_time.ts";
import { COUNTED_PERIOD } from "./counted_period.ts";
import type { DecisionSet } from "./decision_set.ts";
import type { EntryDecisions } from "./entry_decisions.ts";
import { generateRequests } from "./generate_requests.ts";
import type { Load } from "./load.ts";
import type { OfferedRequest } from "./offered_request.ts";
import type { PlayResult } from "./play_result.ts";
import { PlayedCall } from "./played_call.ts";
import { PlayedFleet } from "./played_fleet.ts";

const MIN_EXCHANGE_INTERVAL: Milliseconds = 300;
/** Numbers that are added to the seed for independent random numbers. */
const FLEET_SEED = 1000;
const ENTRY_SEED = 2000;
const DECISION_SEED = 3000;

/** Plays a load with a set of decisions, in virtual time. */
export function playLoad(
  { load, decisions, seed }: {
    load: Load;
    decisions: DecisionSet;
    seed: number;
  },
): PlayResult {
  const time = new VirtualTime();
  const requests = generateRequests(load, seed);
  const fleet = new PlayedFleet(load, time, seed + FLEET_SEED);
  const entries = decisions.createEntries({
    load,
    random: createSeededRandom(seed + DECISION_SEED),
    upstreams: () => fleet.upstreams,
    schedule: (action, delay) => time.schedule(action, delay),
    engines: () => fleet.up,
    requests,
  });
  scheduleExchanges(entries, load, time);
  const random = createSeededRandom(seed + ENTRY_SEED);
  const drawEntry = () => entries[Math.floor(random() * entries.length)]!;
  const calls = requests.map((request) =>
    new PlayedCall(request, {
      time,
      fleet,
      entries: [drawEntry(), drawEntry()],
    })
  );
  time.schedule(() => {
    const held = new Set(fleet.loseEngines());
    for (const call of calls) {
      call.resend(held);
    }
  }, COUNTED_PERIOD.from);
  time.schedule(() => fleet.replaceEngines(), COUNTED_PERIOD.to);
  const longest = Math.max(...load.kinds.map(({ timeBudget }) => timeBudget));
  time.run(requests.at(-1)!.arrivedAt + longest);
  return {
    outcomes: calls.filter(({ request }) => isCounted(request))
      .map((call) => call.outcome()),
    unusedShare: fleet.unusedShare,
    readAgainTokens: sum(fleet.all.map((engine) => engine.readAgainTokens)),
    memoryShare: Math.max(
      ...fleet.all.map(({ maxHeldTokens }) => maxHeldTokens),
    ) / load.engine.memoryTokens,
  };
}

/** Entries exchange state in turn; some are cut off in the counted period. */
function scheduleExchanges(
  entries: readonly EntryDecisions[],
  load: Load,
  time: VirtualTime,
): void {
  const interval = Math.max(
    MIN_EXCHANGE_INTERVAL,
    exchangeInterval.full(entries.length),
  );
  const cutOff = Math.ceil(entries.length * load.cutOffShare);
  for (const [index, entry] of entries.entries()) {
    const exchange = () => {
      const isCutOff = index < cutOff && time.now >= COUNTED_PERIOD.from &&
        time.now < COUNTED_PERIOD.to;
      if (!isCutOff) {
        entry.exchange(time.now);
      }
    };
    time.schedule(
      () => time.every(interval, exchange),
      interval * index / entries.length,
    );
  }
}

function isCounted({ arrivedAt }: OfferedRequest): boolean {
  return arrivedAt >= COUNTED_PERIOD.from && arrivedAt < COUNTED_PERIOD.to;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
