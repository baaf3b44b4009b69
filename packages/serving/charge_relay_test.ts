import fc from "fast-check";
import { ChargeExchange } from "./charge_exchange.ts";
import { ChargeRelay } from "./mod.ts";

const reported = (inn: number, boot = "1") => ({ boot, spent: { inn } });

/** One exchange of an entry with a replica, as both sides do it. */
function exchange(
  parts: { relay: ChargeRelay; entry: string; spent: number },
  replica: { name: string; charges: ChargeExchange },
  now: number,
): void {
  const { relay, entry, spent } = parts;
  const { name, charges } = replica;
  const passedOn = relay.passOnTo(name, now);
  const wanted = relay.wantedFrom(name);
  charges.receive(entry, reported(spent), now);
  for (const [other, relayed] of Object.entries(passedOn)) {
    charges.learn(other, relayed, now);
  }
  relay.noteReply(name, {
    unheard: charges.unheard(now),
    listed: undefined,
    charges: charges.relay(wanted, now),
  }, now);
}

describe("charges between replicas that receive different entries", () => {
  test("come by way of an entry that reaches both, within three exchanges", () => {
    const left = { name: "left", charges: new ChargeExchange() };
    const right = { name: "right", charges: new ChargeExchange() };
    for (const { charges } of [left, right]) {
      charges.receive("far", reported(10), 0);
    }
    const relay = new ChargeRelay("between");
    const parts = { relay, entry: "between", spent: 0 };
    // The far entry is silent to the left one now.
    for (let now = 700; now <= 1300; now += 100) {
      right.charges.receive("far", reported(10 + now), now);
      exchange(parts, left, now + 10);
      exchange(parts, right, now + 20);
    }
    expect(left.charges.sumWithout("between").inn).toBe(1200);
    expect(left.charges.share(1320)).toBe(1);
  });

  test("aren't passed on while every entry reaches every replica", () => {
    const left = { name: "left", charges: new ChargeExchange() };
    const right = { name: "right", charges: new ChargeExchange() };
    const relay = new ChargeRelay("between");
    for (let now = 0; now <= 1000; now += 100) {
      for (const replica of [left, right]) {
        replica.charges.receive("far", reported(now), now);
        exchange({ relay, entry: "between", spent: 0 }, replica, now);
      }
      expect(relay.passOnTo("left", now)).toEqual({});
      expect(relay.wantedFrom("left")).toEqual([]);
    }
  });

  test("reach a replica that has started since and never knew the entry", () => {
    const relay = new ChargeRelay("between");
    const listed = ["between", "far"];
    const part = { unheard: [], charges: {} };
    relay.noteReply("old", { ...part, listed }, 0);
    relay.noteReply("new", { ...part, listed: ["between"] }, 0);
    expect(relay.wantedFrom("old")).toEqual(["far"]);
    const charges = { far: { ...reported(5), age: 50 } };
    relay.noteReply("old", { unheard: [], listed, charges }, 100);
    expect(relay.passOnTo("new", 120))
      .toEqual({ far: { ...reported(5), age: 70 } });
  });

  test("are asked of nobody once nothing was received for a second", () => {
    const relay = new ChargeRelay("between");
    relay.receive("far", reported(5), 0);
    const part = { unheard: ["far"], listed: undefined, charges: {} };
    relay.noteReply("left", part, 900);
    expect(Object.keys(relay.passOnTo("left", 900))).toEqual(["far"]);
    relay.noteReply("left", part, 1100);
    expect(relay.passOnTo("left", 1100)).toEqual({});
  });

  test("only count when they are newer than what the entry said itself", () => {
    const charges = new ChargeExchange();
    charges.receive("far", reported(10), 0);
    charges.receive("far", reported(30), 500);
    charges.learn("far", { ...reported(20), age: 300 }, 600);
    expect(charges.sumWithout("").inn).toBe(20);
    charges.learn("far", { ...reported(45), age: 50 }, 700);
    expect(charges.sumWithout("").inn).toBe(35);
    // It has started again meanwhile; the older process is relayed late.
    charges.learn("far", { ...reported(4, "2"), age: 0 }, 800);
    charges.learn("far", { ...reported(60), age: 200 }, 900);
    expect(charges.sumWithout("").inn).toBe(39);
  });

  test("add up to what was spent, in whatever order they arrive", () => {
    const updates = fc.record({
      age: fc.nat(400),
      isRelayed: fc.boolean(),
    });
    fc.assert(fc.property(fc.array(updates, { maxLength: 60 }), (steps) => {
      const charges = new ChargeExchange();
      charges.receive("far", reported(0), 0);
      let now = 0;
      let newest = 0;
      for (const { age, isRelayed } of steps) {
        now += 30;
        const at = isRelayed ? Math.max(0, now - age) : now;
        // The entry spends a token each millisecond.
        if (isRelayed) {
          charges.learn("far", { ...reported(at), age: now - at }, now);
        } else {
          charges.receive("far", reported(now), now);
        }
        newest = Math.max(newest, at);
        expect(charges.sumWithout("").inn ?? 0).toBe(newest);
      }
    }));
  });
});
