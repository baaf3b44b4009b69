import fc from "fast-check";
import { ChargeAggregator } from "./charge_aggregator.ts";
import { ChargeRelay } from "./mod.ts";

const reported = (inn: number, boot = "1") => ({ boot, spent: { inn } });

/** One exchange of an entry with a replica, on both sides. */
function exchange(
  parts: { relay: ChargeRelay; entry: string; spent: number },
  replica: { name: string; charges: ChargeAggregator },
  now: number,
): void {
  const { relay, entry, spent } = parts;
  const { name, charges } = replica;
  const passedOn = relay.chargesToRelay(name, now);
  const wanted = relay.entriesToRequest(name);
  charges.applyReport(entry, reported(spent), now);
  for (const [other, relayed] of Object.entries(passedOn)) {
    charges.applyRelayedReport(other, relayed, now);
  }
  relay.handleReply(name, {
    unheard: charges.listUnresponsive(now),
    listed: undefined,
    charges: charges.recentReports(wanted, now),
  }, now);
}

describe("charges relayed between replicas that different entries report to", () => {
  test("arrive through an entry that reaches both, within three exchanges", () => {
    const left = { name: "left", charges: new ChargeAggregator() };
    const right = { name: "right", charges: new ChargeAggregator() };
    for (const { charges } of [left, right]) {
      charges.applyReport("far", reported(10), 0);
    }
    const relay = new ChargeRelay("between");
    const parts = { relay, entry: "between", spent: 0 };
    // The far entry no longer reports to the left replica.
    for (let now = 700; now <= 1300; now += 100) {
      right.charges.applyReport("far", reported(10 + now), now);
      exchange(parts, left, now + 10);
      exchange(parts, right, now + 20);
    }
    expect(left.charges.sumExcluding("between").inn).toBe(1200);
    expect(left.charges.quotaShare(1320)).toBe(1);
  });

  test("aren't relayed while every entry reaches every replica", () => {
    const left = { name: "left", charges: new ChargeAggregator() };
    const right = { name: "right", charges: new ChargeAggregator() };
    const relay = new ChargeRelay("between");
    for (let now = 0; now <= 1000; now += 100) {
      for (const replica of [left, right]) {
        replica.charges.applyReport("far", reported(now), now);
        exchange({ relay, entry: "between", spent: 0 }, replica, now);
      }
      expect(relay.chargesToRelay("left", now)).toEqual({});
      expect(relay.entriesToRequest("left")).toEqual([]);
    }
  });

  test("reach a restarted replica that has no record of the entry", () => {
    const relay = new ChargeRelay("between");
    const listed = ["between", "far"];
    const part = { unheard: [], charges: {} };
    relay.handleReply("old", { ...part, listed }, 0);
    relay.handleReply("new", { ...part, listed: ["between"] }, 0);
    expect(relay.entriesToRequest("old")).toEqual(["far"]);
    const charges = { far: { ...reported(5), age: 50 } };
    relay.handleReply("old", { unheard: [], listed, charges }, 100);
    expect(relay.chargesToRelay("new", 120))
      .toEqual({ far: { ...reported(5), age: 70 } });
  });

  test("aren't relayed once no report was received for a second", () => {
    const relay = new ChargeRelay("between");
    relay.record("far", reported(5), 0);
    const part = { unheard: ["far"], listed: undefined, charges: {} };
    relay.handleReply("left", part, 900);
    expect(Object.keys(relay.chargesToRelay("left", 900))).toEqual(["far"]);
    relay.handleReply("left", part, 1100);
    expect(relay.chargesToRelay("left", 1100)).toEqual({});
  });

  test("only count if they are newer than the entry's own report", () => {
    const charges = new ChargeAggregator();
    charges.applyReport("far", reported(10), 0);
    charges.applyReport("far", reported(30), 500);
    charges.applyRelayedReport("far", { ...reported(20), age: 300 }, 600);
    expect(charges.sumExcluding("").inn).toBe(20);
    charges.applyRelayedReport("far", { ...reported(45), age: 50 }, 700);
    expect(charges.sumExcluding("").inn).toBe(35);
    // The entry has restarted meanwhile; its earlier process is relayed late.
    charges.applyRelayedReport("far", { ...reported(4, "2"), age: 0 }, 800);
    charges.applyRelayedReport("far", { ...reported(60), age: 200 }, 900);
    expect(charges.sumExcluding("").inn).toBe(39);
  });

  test("sum up to what was charged, in any order of arrival", () => {
    const updates = fc.record({
      age: fc.nat(400),
      isRelayed: fc.boolean(),
    });
    fc.assert(fc.property(fc.array(updates, { maxLength: 60 }), (steps) => {
      const charges = new ChargeAggregator();
      charges.applyReport("far", reported(0), 0);
      let now = 0;
      let newest = 0;
      for (const { age, isRelayed } of steps) {
        now += 30;
        const at = isRelayed ? Math.max(0, now - age) : now;
        // The entry charges one token per millisecond.
        if (isRelayed) {
          charges.applyRelayedReport(
            "far",
            { ...reported(at), age: now - at },
            now,
          );
        } else {
          charges.applyReport("far", reported(now), now);
        }
        newest = Math.max(newest, at);
        expect(charges.sumExcluding("").inn ?? 0).toBe(newest);
      }
    }));
  });
});
