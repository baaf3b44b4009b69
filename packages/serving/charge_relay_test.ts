import fc from "fast-check";
import { ChargeExchange } from "./charge_exchange.ts";
import { ChargeRelay } from "./mod.ts";

const told = (inn: number, boot = "1") => ({ boot, spent: { inn } });

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
  charges.hear(entry, told(spent), now);
  for (const [other, relayed] of Object.entries(passedOn)) {
    charges.learn(other, relayed, now);
  }
  relay.noteReply(name, {
    unheard: charges.unheard(now),
    listed: undefined,
    charges: charges.tell(wanted, now),
  }, now);
}

describe("charges between replicas that hear different entries", () => {
  test("come by way of an entry that reaches both, within three exchanges", () => {
    const left = { name: "left", charges: new ChargeExchange() };
    const right = { name: "right", charges: new ChargeExchange() };
    for (const { charges } of [left, right]) {
      charges.hear("far", told(10), 0);
    }
    const relay = new ChargeRelay("between");
    const parts = { relay, entry: "between", spent: 0 };
    // The left one hears nothing of the far entry any more.
    for (let now = 700; now <= 1300; now += 100) {
      right.charges.hear("far", told(10 + now), now);
      exchange(parts, left, now + 10);
      exchange(parts, right, now + 20);
    }
    expect(left.charges.sumWithout("between").inn).toBe(1200);
    expect(left.charges.share(1320)).toBe(1);
  });

  test("aren't passed on while every replica hears every entry", () => {
    const left = { name: "left", charges: new ChargeExchange() };
    const right = { name: "right", charges: new ChargeExchange() };
    const relay = new ChargeRelay("between");
    for (let now = 0; now <= 1000; now += 100) {
      for (const replica of [left, right]) {
        replica.charges.hear("far", told(now), now);
        exchange({ relay, entry: "between", spent: 0 }, replica, now);
      }
      expect(relay.passOnTo("left", now)).toEqual({});
      expect(relay.wantedFrom("left")).toEqual([]);
    }
  });

  test("reach a replica that has started since and never heard the entry", () => {
    const relay = new ChargeRelay("between");
    const listed = ["between", "far"];
    const part = { unheard: [], charges: {} };
    relay.noteReply("old", { ...part, listed }, 0);
    relay.noteReply("new", { ...part, listed: ["between"] }, 0);
    expect(relay.wantedFrom("old")).toEqual(["far"]);
    const charges = { far: { ...told(5), age: 50 } };
    relay.noteReply("old", { unheard: [], listed, charges }, 100);
    expect(relay.passOnTo("new", 120))
      .toEqual({ far: { ...told(5), age: 70 } });
  });

  test("are asked of nobody once nothing was heard for a second", () => {
    const relay = new ChargeRelay("between");
    relay.hear("far", told(5), 0);
    const part = { unheard: ["far"], listed: undefined, charges: {} };
    relay.noteReply("left", part, 900);
    expect(Object.keys(relay.passOnTo("left", 900))).toEqual(["far"]);
    relay.noteReply("left", part, 1100);
    expect(relay.passOnTo("left", 1100)).toEqual({});
  });

  test("only count when they are newer than what the entry said itself", () => {
    const charges = new ChargeExchange();
    charges.hear("far", told(10), 0);
    charges.hear("far", told(30), 500);
    charges.learn("far", { ...told(20), age: 300 }, 600);
    expect(charges.sumWithout("").inn).toBe(20);
    charges.learn("far", { ...told(45), age: 50 }, 700);
    expect(charges.sumWithout("").inn).toBe(35);
    // It has started again meanwhile; the older process is told late.
    charges.learn("far", { ...told(4, "2"), age: 0 }, 800);
    charges.learn("far", { ...told(60), age: 200 }, 900);
    expect(charges.sumWithout("").inn).toBe(39);
  });

  test("add up to what was spent, in whatever order they are told", () => {
    const news = fc.record({
      age: fc.nat(400),
      isRelayed: fc.boolean(),
    });
    fc.assert(fc.property(fc.array(news, { maxLength: 60 }), (steps) => {
      const charges = new ChargeExchange();
      charges.hear("far", told(0), 0);
      let now = 0;
      let newest = 0;
      for (const { age, isRelayed } of steps) {
        now += 30;
        const at = isRelayed ? Math.max(0, now - age) : now;
        // The entry spends a token each millisecond.
        if (isRelayed) {
          charges.learn("far", { ...told(at), age: now - at }, now);
        } else {
          charges.hear("far", told(now), now);
        }
        newest = Math.max(newest, at);
        expect(charges.sumWithout("").inn ?? 0).toBe(newest);
      }
    }));
  });
});
