import { createSeededRandom } from "@heroncleat/base";
import { Ledger } from "@heroncleat/ledger";
import type { CopyMessage, RequestRecord, TextPiece } from "@heroncleat/schema";
import * as fc from "fast-check";
import {
  OwnedRequest,
  ReclaimAction,
  type RequestEffect,
  type RequestEvent,
  StandbyStore,
} from "./mod.ts";

const RUNS = Number(process.env["FUZZ_RUNS"] ?? 1) * 150;
const ANSWER_PIECES = 8;
const ENTRIES = ["e1", "e2", "e3", "e4"];
const UPSTREAMS = ["u1", "u2", "u3"];
const ID = "e1~e2~token";
const RECORD: RequestRecord = {
  id: ID,
  workspace: "bureau",
  kind: "chat",
  stream: true,
  model: "writer",
  body: JSON.stringify({ max_tokens: ANSWER_PIECES }),
  priority: "draft",
  deadline: 10_000_000,
  promptTokens: 100,
  epoch: 1,
  owner: "e1",
  standby: "e2",
};

/** An entry as far as one request is concerned. */
type Entry = {
  alive: boolean;
  store: StandbyStore;
  owned: OwnedRequest | undefined;
  takingOver: boolean;
};

/** Something on its way: a message, a call, or an event inside an entry. */
type Action = {
  readonly run: () => void;
  readonly repeatable: boolean;
  /** What its loss leads to; without it, it can't be lost. */
  readonly lose?: () => void;
  /** Entry that a move on its way to the ledger will name. */
  readonly names?: string;
};

const NOTHING = () => {};

/**
 * Entries, ledger and upstreams joined by a bag of actions that may be run in
 * any order, lost or repeated. Every upstream would write another text, so
 * any restart with different text shows.
 */
class World {
  readonly entries = new Map<string, Entry>();
  readonly ledger = new Ledger();
  readonly bag: Action[] = [];
  /** What callers have been given, by index. */
  readonly given = new Map<number, string>();
  readonly random = createSeededRandom(11);
  now = 0;
  accepted = false;
  finished = false;
  kills = 0;

  constructor() {
    for (const name of ENTRIES) {
      this.entries.set(name, this.freshEntry(name));
    }
    this.own("e1", RECORD, { pieces: [], accepted: false });
  }

  freshEntry(name: string): Entry {
    return {
      alive: true,
      store: new StandbyStore(name, 1_000_000),
      owned: undefined,
      takingOver: false,
    };
  }

  own(
    name: string,
    record: RequestRecord,
    start: { pieces: readonly TextPiece[]; accepted: boolean },
  ): void {
    const entry = this.entries.get(name)!;
    entry.owned = new OwnedRequest(record, {
      settings: {
        self: name,
        copyTimeout: 50,
        handOverTimeout: 100,
        idleTimeout: 200,
        retryDelay: 20,
        maxAttempts: 100_000,
        chooseReclaimAction: () =>
          this.random() < 0.5 ? ReclaimAction.resume : ReclaimAction.finish,
      },
      start: { ...start, finished: false, finishReason: "", now: this.now },
    });
    this.give(entry.owned.emittedFrom(0));
    this.tell(name, entry.owned, { kind: "start" });
  }

  tell(name: string, owned: OwnedRequest, event: RequestEvent): void {
    const entry = this.entries.get(name)!;
    if (!entry.alive || entry.owned !== owned) {
      return;
    }
    for (const effect of owned.handle(event, this.now)) {
      this.carryOut(name, owned, effect);
    }
    // A caller may read at any moment, and must not be told of a whole answer
    // that it hasn't got.
    this.give(owned.emittedFrom(0));
    if (owned.isComplete) {
      expect(owned.emittedCount).toBe(ANSWER_PIECES);
    }
  }

  carryOut(name: string, owned: OwnedRequest, effect: RequestEffect): void {
    const later = (event: RequestEvent, fromUpstream = false) =>
      this.bag.push({
        run: () => this.tell(name, owned, event),
        repeatable: fromUpstream,
        ...fromUpstream ? { lose: NOTHING } : {},
      });
    switch (effect.kind) {
      case "copy":
        this.sendCopy(effect, later);
        return;
      case "accepted":
        this.accepted = true;
        return;
      case "route": {
        const open = UPSTREAMS.filter((u) => !effect.exclude.includes(u));
        const upstream = open[Math.floor(this.random() * open.length)];
        later(
          upstream === undefined
            ? { kind: "unroutable", attempt: effect.attempt }
            : { kind: "routed", attempt: effect.attempt, upstream },
        );
        return;
      }
      case "dispatch":
        this.generate(effect, later);
        return;
      case "emit":
        this.give(owned.emittedFrom(0));
        return;
      case "choose_standby": {
        const others = ENTRIES.filter((other) =>
          other !== name && this.entries.get(other)!.alive
        );
        const fresh = others.filter((other) => !effect.exclude.includes(other));
        const pool = fresh.length > 0 ? fresh : others;
        const standby = pool[Math.floor(this.random() * pool.length)] ?? "";
        later({ kind: "standby_chosen", standby });
        return;
      }
      case "move_standby":
        this.askLedger(name, { ...effect, later });
        return;
      case "finished":
        this.give(owned.emittedFrom(0));
        expect(this.given.size).toBe(owned.emittedCount);
        this.finished = true;
        return;
      case "failed":
        throw new Error(`gave up: ${effect.fault.message}`);
      case "hand_over":
        this.bag.push({
          run: () => this.takeOver(effect.standby),
          repeatable: true,
          lose: NOTHING,
        });
        later({ kind: "hand_over_failed" });
        return;
      case "handed_over":
      case "fenced":
        this.entries.get(name)!.owned = undefined;
        return;
      case "refused":
      case "cancel":
        return;
    }
  }

  /** A standby that holds a whole answer gives it without taking over. */
  readFinished(name: string): void {
    const copy = this.entries.get(name)?.store.get(ID);
    if (copy?.finished) {
      this.give(copy.pieces);
      this.finished = true;
    }
  }

  /** Gives the caller all that may be read; it may never change. */
  give(pieces: readonly TextPiece[]): void {
    for (const piece of pieces) {
      expect(this.given.get(piece.index) ?? piece.text).toBe(piece.text);
      this.given.set(piece.index, piece.text);
    }
  }

  sendCopy(
    effect: { number: number; to: string; message: CopyMessage },
    later: (event: RequestEvent) => void,
  ): void {
    const message = structuredClone(effect.message);
    this.bag.push({
      repeatable: true,
      lose: NOTHING,
      run: () => {
        const holder = this.entries.get(effect.to)!;
        if (!holder.alive) {
          return;
        }
        const { owned } = holder;
        if (owned !== undefined && owned.record.epoch >= message.epoch) {
          const { epoch } = owned.record;
          const reply = { outcome: "fenced" as const, epoch, pieces: 0 };
          later({ kind: "copy_answered", number: effect.number, reply });
          return;
        }
        if (owned !== undefined) {
          const owner = message.record?.owner ?? "";
          this.tell(effect.to, owned, { kind: "custody_lost", owner });
          return;
        }
        const reply = holder.store.applyCopy(
          structuredClone(message),
          this.now,
        );
        later({ kind: "copy_answered", number: effect.number, reply });
      },
    });
  }

  generate(
    effect: { attempt: number; upstream: string; pieces: readonly TextPiece[] },
    later: (event: RequestEvent, fromUpstream?: boolean) => void,
  ): void {
    const { attempt, upstream } = effect;
    let place = 0;
    for (let at = effect.pieces.length; at < ANSWER_PIECES; at += 1) {
      const piece = { text: `${upstream}.${at}.${this.random()}`, tokens: 1 };
      later({ kind: "piece", attempt, position: place, piece }, true);
      place += 1;
    }
    const reason = "stop";
    later({ kind: "attempt_finished", attempt, pieces: place, reason }, true);
  }

  askLedger(
    name: string,
    options: {
      expectedEpoch: number;
      standby: string;
      later: (event: RequestEvent) => void;
    },
  ): void {
    this.bag.push({
      repeatable: true,
      lose: NOTHING,
      names: options.standby,
      run: () => {
        const [outcome] = this.ledger.move({
          kind: "custody",
          requests: [ID],
          expectedEpochs: [options.expectedEpoch],
          owner: name,
          standby: options.standby,
          from: name,
          at: 0,
        }).outcomes;
        const { moved, epoch, standby, owner } = outcome!;
        options.later(
          moved
            ? { kind: "standby_moved", epoch, standby }
            : { kind: "custody_lost", owner },
        );
      },
    });
    // The answer may be lost; then the owner asks again.
    options.later({ kind: "standby_kept" });
  }

  /** A standby believes, rightly or not, that the owner is gone. */
  takeOver(name: string): void {
    const entry = this.entries.get(name)!;
    const copy = entry.store.get(ID);
    const idle = entry.alive && !entry.takingOver && copy !== undefined &&
      !copy.finished && entry.owned === undefined;
    if (!idle) {
      return;
    }
    const copies = [copy];
    entry.takingOver = true;
    entry.store.startTakeOver(copies);
    this.bag.push({
      repeatable: false,
      lose: () => {
        entry.takingOver = false;
        entry.store.cancelTakeOver(copies);
      },
      run: () => {
        if (this.entries.get(name) !== entry || !entry.alive) {
          return;
        }
        entry.takingOver = false;
        const [outcome] = this.ledger.move({
          kind: "custody",
          requests: [ID],
          expectedEpochs: [copy.record.epoch],
          owner: name,
          standby: "",
          from: name,
          at: 0,
        }).outcomes;
        const taken = entry.store.finishTakeOver(outcome!);
        if (taken !== undefined) {
          const { record, pieces } = taken;
          this.own(name, record, { pieces, accepted: true });
        }
      },
    });
  }

  /**
   * Kills an entry unless that would lose both holders at once, the holder
   * that a move on its way will name included.
   */
  kill(name: string): void {
    const entry = this.entries.get(name)!;
    const custody = this.ledger.custodyOf(ID);
    const holds = (holder: string) => {
      const other = this.entries.get(holder);
      return holder !== name && other !== undefined && other.alive &&
        (other.store.get(ID) !== undefined || other.owned !== undefined);
    };
    const safe = holds(custody.owner) || holds(custody.standby);
    const ownerIntact = custody.owner !== name &&
      this.entries.get(custody.owner)?.owned !== undefined;
    const atRisk = this.bag.some(({ names }) =>
      names !== undefined && names !== "" &&
      (names === name || !holds(names))
    );
    const allowed = this.accepted && !this.finished && !atRisk;
    if (entry.alive && allowed && (safe || ownerIntact)) {
      this.kills += 1;
      entry.alive = false;
      entry.owned = undefined;
    }
  }

  revive(name: string): void {
    if (!this.entries.get(name)!.alive) {
      this.entries.set(name, this.freshEntry(name));
    }
  }

  tickAll(): void {
    for (const [name, entry] of this.entries) {
      if (entry.owned !== undefined) {
        this.tell(name, entry.owned, { kind: "tick" });
      }
    }
  }

  runOne(place: number, repeat: boolean): void {
    const index = place % this.bag.length;
    const action = this.bag[index];
    if (action === undefined) {
      return;
    }
    if (!repeat || !action.repeatable) {
      this.bag.splice(index, 1);
    }
    action.run();
  }

  loseOne(place: number): void {
    const index = place % this.bag.length;
    const action = this.bag[index];
    if (action?.lose !== undefined) {
      this.bag.splice(index, 1);
      action.lose();
    }
  }

  /** Everything is delivered in order and dead owners are replaced. */
  settle(): void {
    for (let round = 0; round < 400 && !this.finished; round += 1) {
      this.now += 20;
      this.tickAll();
      for (let left = this.bag.length; left > 0; left -= 1) {
        this.runOne(0, false);
      }
      const { owner, standby } = this.ledger.custodyOf(ID);
      const holder = this.entries.get(owner)!;
      if (!holder.alive || holder.owned === undefined) {
        this.readFinished(standby);
        this.takeOver(standby === "" ? owner : standby);
      }
    }
  }
}

const step = fc.tuple(fc.nat(15), fc.nat(3), fc.nat(997));

function takeStep(world: World, [kind, who, detail]: readonly number[]): void {
  const name = ENTRIES[who!]!;
  const entry = world.entries.get(name)!;
  switch (kind) {
    case 0:
      world.now += detail! % 60;
      world.tickAll();
      return;
    case 1:
      world.loseOne(detail!);
      return;
    case 2:
      world.runOne(detail!, true);
      return;
    case 3:
      world.takeOver(name);
      return;
    case 4:
      world.kill(name);
      return;
    case 5:
      world.revive(name);
      return;
    case 6:
      if (entry.owned !== undefined) {
        world.tell(name, entry.owned, {
          kind: "upstream_leaving",
          upstream: UPSTREAMS[detail! % UPSTREAMS.length]!,
          reclaimIn: detail! % 100,
        });
      }
      return;
    case 7:
      if (entry.owned !== undefined && world.accepted) {
        world.tell(name, entry.owned, { kind: "hand_over" });
      }
      return;
    default:
      world.runOne(kind! < 13 ? 0 : detail!, false);
  }
}

describe("an accepted request", () => {
  test("has one text under reclaims, kills, lost copies and takeovers", () => {
    let taken = 0;
    let finished = 0;
    let kills = 0;
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 60, maxLength: 200 }),
        (steps) => {
          const world = new World();
          for (const each of steps) {
            takeStep(world, each);
          }
          world.settle();
          taken += steps.length;
          kills += world.kills;
          if (world.accepted) {
            expect(world.finished).toBe(true);
            expect(world.given.size).toBe(ANSWER_PIECES);
            finished += 1;
          }
        },
      ),
      { numRuns: RUNS, seed: 20261202 },
    );
    expect(taken).toBeGreaterThan(10_000);
    expect(finished).toBeGreaterThan(100);
    expect(kills).toBeGreaterThan(50);
  });
});

describe("a request that is refused after its copy was sent", () => {
  test("is taken over by nobody, and not said to be not run", () => {
    const world = new World();
    const entry = world.entries.get("e1")!;
    const owned = entry.owned!;
    world.runOne(0, false);
    const effects = owned.handle({ kind: "hand_over" }, world.now);
    const refused = effects.find((effect) => effect.kind === "refused");
    expect(refused).toMatchObject({ fault: { run: "unknown" } });
    for (const effect of effects) {
      world.carryOut("e1", owned, effect);
    }
    world.runOne(world.bag.length - 1, false);
    expect(world.entries.get("e2")!.store.unfinishedCopiesOf("e1")).toEqual([]);
  });
});
