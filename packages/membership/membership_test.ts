import { createSeededRandom } from "@heroncleat/base";
import type { Announcement, MembershipMessage } from "@heroncleat/schema";
import * as fc from "fast-check";
import {
  chooseStandby,
  listEntries,
  Membership,
  type MembershipEffect,
} from "./mod.ts";

const RUNS = Number(process.env["FUZZ_RUNS"] ?? 1) * 40;
const TICK_INTERVAL_MS = 50;

type Packet = { to: string; from: string; message: MembershipMessage };

/** Entries in one process, with virtual time and a simulated network. */
class SimulatedEntries {
  readonly entries = new Map<string, Membership>();
  readonly packets: Packet[] = [];
  readonly down = new Set<string>();
  readonly partitioned = new Set<string>();
  readonly random = createSeededRandom(3);
  /** Time of each entry's "informed" effect, by entry name. */
  readonly synchronizedAt = new Map<string, number>();
  sent = 0;
  time = 0;

  readonly size: number;

  constructor(size: number) {
    this.size = size;
    for (let index = 0; index < size; index += 1) {
      this.start(`e${index}`);
    }
  }

  start(name: string): void {
    this.down.delete(name);
    this.entries.set(
      name,
      new Membership({
        name,
        address: name,
        callerAddress: `${name}:80`,
        zone: `z${Number(name.slice(1)) % 4}`,
        incarnation: this.time,
        seeds: ["e0", "e1"],
        probeInterval: 400,
        probeTimeout: 200,
        suspectTimeout: 1600,
        upstreamLease: 3000,
        indirectProbes: 3,
        maxGossipRecords: 12,
        syncInterval: 2000,
        retention: 60_000,
        broadcastFanout: 64,
      }, createSeededRandom(Number(name.slice(1)) + 1)),
    );
  }

  applyEffects(from: string, effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === "informed") {
        this.synchronizedAt.set(from, this.time);
      }
      if (effect.kind === "send") {
        this.sent += 1;
        const message = structuredClone(effect.message);
        this.packets.push({ to: effect.address, from, message });
      }
    }
  }

  deliver(index: number): void {
    const [packet] = this.packets.splice(index % this.packets.length, 1);
    const target = packet && this.entries.get(packet.to);
    const isBlocked = packet === undefined || this.down.has(packet.to) ||
      this.partitioned.has(packet.to) !== this.partitioned.has(packet.from);
    if (target !== undefined && !isBlocked) {
      const event = { kind: "message" as const, message: packet!.message };
      this.applyEffects(packet!.to, target.handle(event, this.time));
    }
  }

  tick(): void {
    this.time += TICK_INTERVAL_MS;
    for (const [name, membership] of this.entries) {
      if (!this.down.has(name)) {
        this.applyEffects(name, membership.handle({ kind: "tick" }, this.time));
      }
    }
  }

  run(duration: number): void {
    const until = this.time + duration;
    while (this.time < until) {
      this.tick();
      for (let remaining = this.packets.length; remaining > 0; remaining -= 1) {
        this.deliver(0);
      }
    }
  }

  stateOf(name: string, observer: string): string | undefined {
    return this.entries.get(observer)!.members.find((member) =>
      member.name === name
    )
      ?.state;
  }

  announce(at: string, announcement: Partial<Announcement>): void {
    const event = {
      kind: "announce" as const,
      announcement: { ...ANNOUNCEMENT, ...announcement },
    };
    this.applyEffects(at, this.entries.get(at)!.handle(event, this.time));
  }
}

const ANNOUNCEMENT: Announcement = {
  name: "u1",
  address: "h:1",
  incarnation: 1,
  sequence: 1,
  kind: "model_engine",
  models: ["m"],
  zone: "z0",
  vmClass: "reclaimable",
  price: 1,
  labels: {},
  checksFencing: true,
  slots: 4,
  prefillRate: 1000,
  decodeInterval: 20,
  state: "serving",
  load: { running: 0, waiting: 0, kvUsedShare: 0, at: 0 },
};

describe("entries", () => {
  test("discover each other through the seeds", () => {
    const group = new SimulatedEntries(12);
    group.run(5000);
    for (const membership of group.entries.values()) {
      expect(membership.members).toHaveLength(12);
    }
  });

  test("all declare a crashed entry dead, and alive after its restart", () => {
    const group = new SimulatedEntries(12);
    group.run(5000);
    group.down.add("e5");
    group.run(9000);
    for (const name of group.entries.keys()) {
      if (name !== "e5") {
        expect(group.stateOf("e5", name)).toBe("dead");
      }
    }
    group.start("e5");
    group.run(5000);
    expect(group.stateOf("e5", "e1")).toBe("alive");
  });

  test("don't declare others dead after a pause of their own", () => {
    const group = new SimulatedEntries(4);
    group.run(4000);
    // One entry is paused and then receives all acks of that time at once.
    const paused = group.entries.get("e2")!;
    const others = ["e0", "e1", "e3"];
    const backlog: Packet[] = [];
    for (let elapsed = 0; elapsed < 2500; elapsed += TICK_INTERVAL_MS) {
      group.time += TICK_INTERVAL_MS;
      // The paused entry still sends a ping, but doesn't read the ack.
      const tickingEntries = elapsed < 400 ? ["e0", "e1", "e2", "e3"] : others;
      for (const name of tickingEntries) {
        const effects = group.entries.get(name)!
          .handle({ kind: "tick" }, group.time);
        group.applyEffects(name, effects);
      }
      for (
        let remaining = group.packets.length;
        remaining > 0;
        remaining -= 1
      ) {
        const packet = group.packets[0]!;
        if (packet.to === "e2") {
          backlog.push(group.packets.shift()!);
        } else {
          group.deliver(0);
        }
      }
    }
    const effects = paused.handle({ kind: "tick" }, group.time);
    const changed = effects.filter((effect) =>
      effect.kind === "member_changed"
    );
    expect(changed).toEqual([]);
    group.applyEffects("e2", effects);
    group.packets.push(...backlog);
    group.run(6000);
    for (const name of others) {
      expect(group.stateOf("e2", name)).toBe("alive");
      expect(group.stateOf(name, "e2")).toBe("alive");
    }
  });

  test("receive a departure directly, and by gossip where that is lost", () => {
    const group = new SimulatedEntries(12);
    group.run(5000);
    group.announce("e3", {});
    group.run(2000);
    group.announce("e3", { sequence: 2, state: "leaving", reclaimIn: 2000 });
    // Four of the direct messages are lost.
    group.packets.splice(0, 4);
    while (group.packets.length > 0) {
      group.deliver(0);
    }
    const notified = [...group.entries.values()].filter((membership) =>
      membership.upstreams(group.time)[0]?.announcement.state === "leaving"
    );
    expect(notified.length).toBeGreaterThanOrEqual(8);
    group.run(1500);
    for (const membership of group.entries.values()) {
      const [known] = membership.upstreams(group.time);
      expect(known?.announcement.state).toBe("leaving");
    }
  });

  test("expire an unresponsive upstream, but not one that moved", () => {
    const group = new SimulatedEntries(4);
    group.run(4000);
    for (let sequence = 1; sequence < 12; sequence += 1) {
      group.announce(sequence < 6 ? "e1" : "e2", { sequence });
      group.run(500);
    }
    expect(group.entries.get("e0")!.upstreams(group.time)).toHaveLength(1);
    group.run(5000);
    expect(group.entries.get("e0")!.upstreams(group.time)).toHaveLength(0);
  });

  test("are synchronized once they receive upstreams, or after a second", () => {
    const group = new SimulatedEntries(2);
    group.run(900);
    expect(group.synchronizedAt.size).toBe(0);
    group.run(200);
    expect([...group.synchronizedAt.keys()].sort()).toEqual(["e0", "e1"]);
    group.announce("e0", {});
    group.run(500);
    const restartedAt = group.time;
    group.start("e1");
    group.run(300);
    expect(group.synchronizedAt.get("e1")! - restartedAt).toBeLessThanOrEqual(
      200,
    );
    expect(group.entries.get("e1")!.upstreams(group.time)).toHaveLength(1);
  });

  test("don't expire an upstream after a pause of their own", () => {
    const group = new SimulatedEntries(2);
    group.run(1000);
    group.announce("e1", {});
    group.run(1000);
    expect(group.entries.get("e0")!.upstreams(group.time)).toHaveLength(1);
    // The process is paused for longer than the lease.
    group.time += 5000;
    const effects = group.entries.get("e0")!
      .handle({ kind: "tick" }, group.time);
    expect(effects.filter(({ kind }) => kind === "upstream_lapsed")).toEqual(
      [],
    );
    expect(group.entries.get("e0")!.upstreams(group.time)).toHaveLength(1);
    // Without further announcements the lease lapses.
    group.run(3200);
    expect(group.entries.get("e0")!.upstreams(group.time)).toHaveLength(0);
  });

  test("converge after message loss, partitions, crashes and restarts", () => {
    let stepCount = 0;
    const step = fc.tuple(fc.nat(9), fc.nat(7), fc.nat(99));
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 250, maxLength: 350 }),
        (steps) => {
          const group = new SimulatedEntries(6);
          group.run(3000);
          for (const [kind, entryIndex, detail] of steps) {
            stepCount += 1;
            const name = `e${entryIndex % 6}`;
            if (kind <= 3) {
              group.tick();
            } else if (kind <= 6) {
              for (let n = 0; n < 6 && group.packets.length > 0; n += 1) {
                group.deliver(detail + n);
              }
            } else if (kind === 7) {
              group.packets.splice(detail % (group.packets.length + 1), 1);
            } else if (kind === 8) {
              group.partitioned.clear();
              if (detail % 2 === 0) {
                group.partitioned.add(name);
              }
            } else if (group.down.has(name)) {
              group.start(name);
            } else if (group.down.size < 2) {
              group.down.add(name);
            }
          }
          group.partitioned.clear();
          for (const name of [...group.down]) {
            group.start(name);
          }
          group.run(30_000);
          for (const membership of group.entries.values()) {
            const states = membership.members.map(({ state }) => state);
            expect(states).toEqual(states.map(() => "alive"));
            expect(states).toHaveLength(6);
          }
        },
      ),
      { numRuns: RUNS, seed: 9 },
    );
    expect(stepCount).toBeGreaterThan(10_000);
  });
});

describe("discovery", () => {
  const member = (name: string, zone: string, state: "alive" | "leaving") => ({
    name,
    zone,
    state,
    address: name,
    callerAddress: name,
    incarnation: 1,
    revision: 0,
  });

  test("lists the caller's zone first and no leaving entry", () => {
    const members = [
      member("far", "b", "alive"),
      member("gone", "a", "leaving"),
      member("near", "a", "alive"),
    ];
    const listed = listEntries(members, {
      zone: "a",
      maxEntries: 5,
      random: createSeededRandom(1),
    });
    expect(listed.map(({ address }) => address)).toEqual(["near", "far"]);
  });

  test("chooses a standby in another zone if one is available", () => {
    const members = [
      member("owner", "a", "alive"),
      member("same", "a", "alive"),
      member("other", "b", "alive"),
    ];
    const random = createSeededRandom(1);
    const choose = (exclude: string[]) =>
      chooseStandby(members, { owner: "owner", exclude, random })?.name;
    expect(choose([])).toBe("other");
    expect(choose(["other"])).toBe("same");
    expect(choose(["other", "same"])).toMatch(/other|same/);
  });
});
