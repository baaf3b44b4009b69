import {
  type DemandReport,
  LoadShedder,
  type Offer,
  overloadRetryDelay,
} from "./mod.ts";

const SERVICE = "writers";
const RANKS = [
  { service: SERVICE, priority: 0, objective: 1000 },
  { service: SERVICE, priority: 2, objective: 2000 },
];
const offerOf = (changes: Partial<Offer> = {}): Offer => ({
  service: SERVICE,
  priority: 0,
  workspace: "inn",
  objectiveLeft: 1000,
  timeLeft: 12_000,
  waiting: 0,
  prefillTime: 40,
  isPrefillSpeedKnown: true,
  ...changes,
});

/** Requests of a kind per second. */
type PlayedKind = { readonly offer: Offer; readonly perSecond: number };

/**
 * Plays requests at one engine that prefills one after the other, by rank.
 *
 * @returns The share of requests admitted, by kind, after 4 s.
 */
function play(shedder: LoadShedder, kinds: readonly PlayedKind[]): number[] {
  const tallies = kinds.map(() => ({ sent: 0, admitted: 0 }));
  const carried = kinds.map(() => 0);
  let backlog = 0;
  for (let now = 0; now < 14_000; now += 1) {
    backlog = Math.max(0, backlog - 1);
    kinds.forEach(({ offer, perSecond }, kind) => {
      carried[kind] = carried[kind]! + perSecond / 1000;
      if (carried[kind]! < 1) {
        return;
      }
      carried[kind] = carried[kind]! - 1;
      const decision = shedder.decide({ ...offer, waiting: backlog }, now);
      const isAdmitted = decision.kind === "admitted";
      backlog += isAdmitted ? offer.prefillTime : 0;
      if (now >= 4000) {
        tallies[kind]!.sent += 1;
        tallies[kind]!.admitted += isAdmitted ? 1 : 0;
      }
    });
  }
  return tallies.map(({ sent, admitted }) => admitted / sent);
}

function createShedder(ranks = RANKS): LoadShedder {
  const shedder = new LoadShedder({ random: () => 0 });
  shedder.setRanks(ranks);
  return shedder;
}

const URGENT = { offer: offerOf({ prefillTime: 150 }), perSecond: 4.9 };
const LESS_URGENT = { offer: offerOf({ priority: 2 }), perSecond: 24 };

// Guards against the load of 10 of 14 engines lost, where the more urgent kind
// is refused and the other is not.
test("the more urgent rank is served when engines are lost", () => {
  const [urgent, other] = play(createShedder(), [URGENT, LESS_URGENT]);
  expect(urgent).toBeGreaterThan(0.97);
  expect(other).toBeGreaterThan(0.2);
});

// Guards against the load of a less urgent kind at 2.6 times its usual.
test("a surge of the less urgent rank costs the more urgent one nothing", () => {
  const surge = { ...LESS_URGENT, perSecond: 24 * 2.6 };
  const [urgent] = play(createShedder(), [URGENT, surge]);
  expect(urgent).toBeGreaterThan(0.97);
});

// Guards against the load of one workspace at six times its usual.
test("a workspace in a surge costs the others of its rank little", () => {
  const others = ["bar", "pub", "spa"].map((workspace) => ({
    offer: offerOf({ workspace }),
    perSecond: 5,
  }));
  const [surge, ...shares] = play(createShedder(), [
    { offer: offerOf(), perSecond: 36 },
    ...others,
  ]);
  expect(Math.min(...shares)).toBeGreaterThan(0.95);
  // 15 of the 25 requests per second go to the others.
  expect(surge).toBeGreaterThan(0.2);
});

// Guards against refusals where there is room for all.
test("nothing is refused or reported with room for all", () => {
  const shedder = createShedder();
  const quiet = [URGENT, { ...LESS_URGENT, perSecond: 3 }];
  expect(play(shedder, quiet)).toEqual([1, 1]);
  expect(shedder.report(14_000)).toBeUndefined();
});

// Guards against changed decisions where the configuration asks for none.
test("one rank and workspace are decided as before", () => {
  const shedder = createShedder([RANKS[0]!]);
  for (let now = 0; now < 5000; now += 10) {
    const offer = offerOf({
      waiting: (now * 7) % 1500,
      prefillTime: now % 900,
    });
    const decision = shedder.decide(offer, now);
    const before = overloadRetryDelay({ ...offer, objective: 1000 });
    expect(decision.kind === "refused" ? decision.retryAfter : undefined)
      .toBe(before);
  }
  expect(shedder.report(5000)).toBeUndefined();
});

const TOTALS: DemandReport = {
  [SERVICE]: [
    { priority: 0, workspace: "inn", asked: 6000, admitted: 1000 },
    { priority: 0, workspace: "bar", asked: 500, admitted: 500 },
  ],
};

// Guards against shares by sums that are out of date: of a lost replica, over a
// cut link, or of a restarted entry, which knows no demand.
// Guards against refusals in favour of ranks that nobody asks for, once
// estimates were too low.
test("a rank that is alone in demand is decided as before", () => {
  const shedder = createShedder();
  const { service } = offerOf();
  for (let now = 0; now < 1000; now += 10) {
    shedder.recordFirstToken({ service, expected: 0, took: 900 }, now);
  }
  for (let waiting = 0; waiting <= 1000; waiting += 10) {
    const offer = offerOf({ waiting });
    const isOverloaded = overloadRetryDelay({
      waiting,
      prefillTime: offer.prefillTime,
      objective: offer.objectiveLeft,
      isPrefillSpeedKnown: true,
    }) !== undefined;
    expect(shedder.decide(offer, 1000 + waiting).kind)
      .toBe(isOverloaded ? "refused" : "admitted");
  }
});

test("sums over all entries count for 2 s", () => {
  const refusedAt = (now: number, totals?: DemandReport) => {
    const shedder = createShedder([RANKS[0]!]);
    if (totals !== undefined) {
      shedder.applyTotals(totals, 0);
    }
    shedder.decide(offerOf({ workspace: "bar" }), now);
    const waiting = 700;
    return [1, 2].map(() => shedder.decide(offerOf({ waiting }), now))
      .flatMap((decision) => decision.kind === "refused" ? decision : []);
  };
  expect(refusedAt(1999, TOTALS)).toMatchObject([
    { reason: "workspace", totalsAge: 1999 },
  ]);
  expect(refusedAt(2000, TOTALS)).toEqual([]);
  expect(refusedAt(100)).toEqual([]);
  // A replica of an older release sends none.
  expect(refusedAt(100, {})).toEqual([]);
});

// Guards against callers that gain by retrying at once, or delay the others.
test("callers that retry at once don't move the times of other workspaces", () => {
  const retryAfterOf = (retries: number) => {
    const shedder = createShedder();
    const refuse = (changes: Partial<Offer>, now = 1000) => {
      const offer = offerOf({ waiting: 950, ...changes });
      const decision = shedder.decide(offer, now);
      return decision.kind === "refused" ? decision.retryAfter : 0;
    };
    for (let retry = 0; retry < retries; retry += 1) {
      refuse({ workspace: "bar" });
    }
    return {
      first: refuse({}),
      second: refuse({}),
      // Later, as demand that is used for a decision is up to 50 ms old.
      other: refuse({ priority: 2 }, 1100),
    };
  };
  const { first, second, other } = retryAfterOf(0);
  expect(first).toBeGreaterThanOrEqual(200);
  expect(second).toBeGreaterThan(first);
  expect(other).toBeGreaterThan(first);
  expect(retryAfterOf(50)).toEqual({ first, second, other });
});
