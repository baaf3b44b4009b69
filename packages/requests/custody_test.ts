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
const RESPONSE_CHUNKS = 8;
const ENTRIES = ["e1", "e2", "e3", "e4"];
const UPSTREAMS = ["u1", "u2", "u3"];
const ID = "e1~e2~token";
const RECORD: RequestRecord = {
  id: ID,
  workspace: "bureau",
  kind: "chat",
  stream: true,
  model: "writer",
  body: JSON.stringify({ max_tokens: RESPONSE_CHUNKS }),
  priority: "draft",
  deadline: 10_000_000,
  promptTokens: 100,
  epoch: 1,
  owner: "e1",
  standby: "e2",
};

/** The state of an entry for the request under test. */
type Entry = {
  alive: boolean;
  store: StandbyStore;
  owned: OwnedRequest | undefined;
  isTakingOver: boolean;
};

/** A pending message, call or event inside an entry. */
type Action = {
  readonly run: () => void;
  readonly repeatable: boolean;
  /** Effect of losing the action; absent if it can't be lost. */
  readonly onLost?: () => void;
  /** Standby named by a pending proposal to the ledger. */
  readonly proposedStandby?: string;
};

const noop = () => {};

/**
 * Simulates entries, ledger and upstreams. Pending actions run in any order and
 * may be lost or repeated. Each upstream generates different text, so a
 * response that doesn't continue the text already sent is detected.
 */
class Simulation {
  readonly entries = new Map<string, Entry>();
  readonly ledger = new Ledger();
  readonly pendingActions: Action[] = [];
  /** Text sent to the caller, by chunk index. */
  readonly sentToCaller = new Map<number, string>();
  readonly random = createSeededRandom(11);
  now = 0;
  accepted = false;
  finished = false;
  killCount = 0;

  constructor() {
    for (const name of ENTRIES) {
      this.entries.set(name, this.createEntry(name));
    }
    this.startOwner("e1", RECORD, { pieces: [], accepted: false });
  }

  createEntry(name: string): Entry {
    return {
      alive: true,
      store: new StandbyStore(name, 1_000_000),
      owned: undefined,
      isTakingOver: false,
    };
  }

  startOwner(
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
    this.sendToCaller(entry.owned.emittedFrom(0));
    this.handleEvent(name, entry.owned, { kind: "start" });
  }

  handleEvent(name: string, owned: OwnedRequest, event: RequestEvent): void {
    const entry = this.entries.get(name)!;
    if (!entry.alive || entry.owned !== owned) {
      return;
    }
    for (const effect of owned.handle(event, this.now)) {
      this.applyEffect(name, owned, effect);
    }
    // A caller may read at any time; a response reported as complete must have
    // all its chunks.
    this.sendToCaller(owned.emittedFrom(0));
    if (owned.isComplete) {
      expect(owned.emittedCount).toBe(RESPONSE_CHUNKS);
    }
  }

  applyEffect(name: string, owned: OwnedRequest, effect: RequestEffect): void {
    const enqueue = (event: RequestEvent, fromUpstream = false) =>
      this.pendingActions.push({
        run: () => this.handleEvent(name, owned, event),
        repeatable: fromUpstream,
        ...fromUpstream ? { onLost: noop } : {},
      });
    switch (effect.kind) {
      case "copy":
        this.sendCopy(effect, enqueue);
        return;
      case "accepted":
        this.accepted = true;
        return;
      case "route": {
        const candidates = UPSTREAMS.filter((u) => !effect.exclude.includes(u));
        const upstream =
          candidates[Math.floor(this.random() * candidates.length)];
        enqueue(
          upstream === undefined
            ? { kind: "unroutable", attempt: effect.attempt }
            : { kind: "routed", attempt: effect.attempt, upstream },
        );
        return;
      }
      case "dispatch":
        this.generateResponse(effect, enqueue);
        return;
      case "emit":
        this.sendToCaller(owned.emittedFrom(0));
        return;
      case "choose_standby": {
        const others = ENTRIES.filter((other) =>
          other !== name && this.entries.get(other)!.alive
        );
        const notExcluded = others.filter((other) =>
          !effect.exclude.includes(other)
        );
        const pool = notExcluded.length > 0 ? notExcluded : others;
        const standby = pool[Math.floor(this.random() * pool.length)] ?? "";
        enqueue({ kind: "standby_chosen", standby });
        return;
      }
      case "move_standby":
        this.proposeMove(name, { ...effect, enqueue });
        return;
      case "finished":
        this.sendToCaller(owned.emittedFrom(0));
        expect(this.sentToCaller.size).toBe(owned.emittedCount);
        this.finished = true;
        return;
      case "failed":
        throw new Error(`request failed: ${effect.fault.message}`);
      case "hand_over":
        this.pendingActions.push({
          run: () => this.takeOver(effect.standby),
          repeatable: true,
          onLost: noop,
        });
        enqueue({ kind: "hand_over_failed" });
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

  /** Reads the response from a standby that holds all of it. */
  readFromStandby(name: string): void {
    const copy = this.entries.get(name)?.store.get(ID);
    if (copy?.finished) {
      this.sendToCaller(copy.pieces);
      this.finished = true;
    }
  }

  /** Sends readable chunks to the caller; a chunk must never change. */
  sendToCaller(pieces: readonly TextPiece[]): void {
    for (const piece of pieces) {
      expect(this.sentToCaller.get(piece.index) ?? piece.text).toBe(piece.text);
      this.sentToCaller.set(piece.index, piece.text);
    }
  }

  sendCopy(
    effect: { number: number; to: string; message: CopyMessage },
    enqueue: (event: RequestEvent) => void,
  ): void {
    const message = structuredClone(effect.message);
    this.pendingActions.push({
      repeatable: true,
      onLost: noop,
      run: () => {
        const holder = this.entries.get(effect.to)!;
        if (!holder.alive) {
          return;
        }
        const { owned } = holder;
        if (owned !== undefined && owned.record.epoch >= message.epoch) {
          const { epoch } = owned.record;
          const reply = { outcome: "fenced" as const, epoch, pieces: 0 };
          enqueue({ kind: "copy_answered", number: effect.number, reply });
          return;
        }
        if (owned !== undefined) {
          const owner = message.record?.owner ?? "";
          this.handleEvent(effect.to, owned, { kind: "custody_lost", owner });
          return;
        }
        const reply = holder.store.applyCopy(
          structuredClone(message),
          this.now,
        );
        enqueue({ kind: "copy_answered", number: effect.number, reply });
      },
    });
  }

  generateResponse(
    effect: { attempt: number; upstream: string; pieces: readonly TextPiece[] },
    enqueue: (event: RequestEvent, fromUpstream?: boolean) => void,
  ): void {
    const { attempt, upstream } = effect;
    let position = 0;
    for (let at = effect.pieces.length; at < RESPONSE_CHUNKS; at += 1) {
      const piece = { text: `${upstream}.${at}.${this.random()}`, tokens: 1 };
      enqueue({ kind: "piece", attempt, position, piece }, true);
      position += 1;
    }
    const reason = "stop";
    enqueue(
      { kind: "attempt_finished", attempt, pieces: position, reason },
      true,
    );
  }

  proposeMove(
    name: string,
    options: {
      expectedEpoch: number;
      standby: string;
      enqueue: (event: RequestEvent) => void;
    },
  ): void {
    this.pendingActions.push({
      repeatable: true,
      onLost: noop,
      proposedStandby: options.standby,
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
        options.enqueue(
          moved
            ? { kind: "standby_moved", epoch, standby }
            : { kind: "custody_lost", owner },
        );
      },
    });
    // The reply may be lost; then the owner proposes the move again.
    options.enqueue({ kind: "standby_kept" });
  }

  /** Starts a takeover by a standby, whether the owner is alive or not. */
  takeOver(name: string): void {
    const entry = this.entries.get(name)!;
    const copy = entry.store.get(ID);
    const canTakeOver = entry.alive && !entry.isTakingOver &&
      copy !== undefined &&
      !copy.finished && entry.owned === undefined;
    if (!canTakeOver) {
      return;
    }
    const copies = [copy];
    entry.isTakingOver = true;
    entry.store.startTakeOver(copies);
    this.pendingActions.push({
      repeatable: false,
      onLost: () => {
        entry.isTakingOver = false;
        entry.store.cancelTakeOver(copies);
      },
      run: () => {
        if (this.entries.get(name) !== entry || !entry.alive) {
          return;
        }
        entry.isTakingOver = false;
        const [outcome] = this.ledger.move({
          kind: "custody",
          requests: [ID],
          expectedEpochs: [copy.record.epoch],
          owner: name,
          standby: "",
          from: name,
          at: 0,
        }).outcomes;
        const takenOver = entry.store.finishTakeOver(outcome!);
        if (takenOver !== undefined) {
          const { record, pieces } = takenOver;
          this.startOwner(name, record, { pieces, accepted: true });
        }
      },
    });
  }

  /**
   * Kills an entry unless that would lose both owner and standby, including a
   * standby that a pending proposal names.
   */
  kill(name: string): void {
    const entry = this.entries.get(name)!;
    const custody = this.ledger.custodyOf(ID);
    const holds = (holder: string) => {
      const other = this.entries.get(holder);
      return holder !== name && other !== undefined && other.alive &&
        (other.store.get(ID) !== undefined || other.owned !== undefined);
    };
    const isHeldElsewhere = holds(custody.owner) || holds(custody.standby);
    const isOwnerRunning = custody.owner !== name &&
      this.entries.get(custody.owner)?.owned !== undefined;
    const isProposalAtRisk = this.pendingActions.some(({ proposedStandby }) =>
      proposedStandby !== undefined && proposedStandby !== "" &&
      (proposedStandby === name || !holds(proposedStandby))
    );
    const canKill = this.accepted && !this.finished && !isProposalAtRisk;
    if (entry.alive && canKill && (isHeldElsewhere || isOwnerRunning)) {
      this.killCount += 1;
      entry.alive = false;
      entry.owned = undefined;
    }
  }

  revive(name: string): void {
    if (!this.entries.get(name)!.alive) {
      this.entries.set(name, this.createEntry(name));
    }
  }

  tickAll(): void {
    for (const [name, entry] of this.entries) {
      if (entry.owned !== undefined) {
        this.handleEvent(name, entry.owned, { kind: "tick" });
      }
    }
  }

  runAction(offset: number, repeat: boolean): void {
    const index = offset % this.pendingActions.length;
    const action = this.pendingActions[index];
    if (action === undefined) {
      return;
    }
    if (!repeat || !action.repeatable) {
      this.pendingActions.splice(index, 1);
    }
    action.run();
  }

  loseAction(offset: number): void {
    const index = offset % this.pendingActions.length;
    const action = this.pendingActions[index];
    if (action?.onLost !== undefined) {
      this.pendingActions.splice(index, 1);
      action.onLost();
    }
  }

  /** Delivers all actions in order and replaces dead owners. */
  settle(): void {
    for (let round = 0; round < 400 && !this.finished; round += 1) {
      this.now += 20;
      this.tickAll();
      for (
        let remaining = this.pendingActions.length;
        remaining > 0;
        remaining -= 1
      ) {
        this.runAction(0, false);
      }
      const { owner, standby } = this.ledger.custodyOf(ID);
      const holder = this.entries.get(owner)!;
      if (!holder.alive || holder.owned === undefined) {
        this.readFromStandby(standby);
        this.takeOver(standby === "" ? owner : standby);
      }
    }
  }
}

const stepArbitrary = fc.tuple(fc.nat(15), fc.nat(3), fc.nat(997));

function runStep(
  simulation: Simulation,
  [kind, entryIndex, value]: readonly number[],
): void {
  const name = ENTRIES[entryIndex!]!;
  const entry = simulation.entries.get(name)!;
  switch (kind) {
    case 0:
      simulation.now += value! % 60;
      simulation.tickAll();
      return;
    case 1:
      simulation.loseAction(value!);
      return;
    case 2:
      simulation.runAction(value!, true);
      return;
    case 3:
      simulation.takeOver(name);
      return;
    case 4:
      simulation.kill(name);
      return;
    case 5:
      simulation.revive(name);
      return;
    case 6:
      if (entry.owned !== undefined) {
        simulation.handleEvent(name, entry.owned, {
          kind: "upstream_leaving",
          upstream: UPSTREAMS[value! % UPSTREAMS.length]!,
          reclaimIn: value! % 100,
        });
      }
      return;
    case 7:
      if (entry.owned !== undefined && simulation.accepted) {
        simulation.handleEvent(name, entry.owned, { kind: "hand_over" });
      }
      return;
    default:
      simulation.runAction(kind! < 13 ? 0 : value!, false);
  }
}

describe("OwnedRequest and StandbyStore", () => {
  test("sends one text across reclaims, crashes, lost copies and takeovers", () => {
    let stepCount = 0;
    let finishedCount = 0;
    let killCount = 0;
    fc.assert(
      fc.property(
        fc.array(stepArbitrary, { minLength: 60, maxLength: 200 }),
        (steps) => {
          const simulation = new Simulation();
          for (const step of steps) {
            runStep(simulation, step);
          }
          simulation.settle();
          stepCount += steps.length;
          killCount += simulation.killCount;
          if (simulation.accepted) {
            expect(simulation.finished).toBe(true);
            expect(simulation.sentToCaller.size).toBe(RESPONSE_CHUNKS);
            finishedCount += 1;
          }
        },
      ),
      { numRuns: RUNS, seed: 20261202 },
    );
    expect(stepCount).toBeGreaterThan(10_000);
    expect(finishedCount).toBeGreaterThan(100);
    expect(killCount).toBeGreaterThan(50);
  });
});

describe("a request refused after its copy was sent", () => {
  test("isn't taken over and has the run state unknown", () => {
    const simulation = new Simulation();
    const entry = simulation.entries.get("e1")!;
    const owned = entry.owned!;
    simulation.runAction(0, false);
    const effects = owned.handle({ kind: "hand_over" }, simulation.now);
    const refused = effects.find((effect) => effect.kind === "refused");
    expect(refused).toMatchObject({ fault: { run: "unknown" } });
    for (const effect of effects) {
      simulation.applyEffect("e1", owned, effect);
    }
    simulation.runAction(simulation.pendingActions.length - 1, false);
    expect(simulation.entries.get("e2")!.store.unfinishedCopiesOf("e1"))
      .toEqual([]);
  });
});
