import type { Clock, Milliseconds } from "@heroncleat/base";
import { createToken, unreachable } from "@heroncleat/base";
import type {
  Replica,
  ReplicaEffect,
  ReplicaEvent,
} from "@heroncleat/consensus";
import type { Journal } from "@heroncleat/journal";
import type { ConsensusMessage, LogSnapshot } from "@heroncleat/schema";
import type { Log } from "../common/log.ts";
import type { ControlApplication } from "./control_application.ts";
import type { MemberDirectory } from "./member_directory.ts";
import type { ProposalOutcome } from "./proposal_outcome.ts";
import type { ReadOutcome } from "./read_outcome.ts";
import type { ReplicaMessage } from "./replica_message.ts";
import type { ReplicatedApplication } from "./replicated_application.ts";

/** What a replica host is built from. */
type HostOptions<Application extends ReplicatedApplication> = {
  readonly replica: Replica;
  readonly application: Application;
  readonly journal: Journal;
  readonly directory: MemberDirectory;
  readonly clock: Clock;
  readonly log: Log;
  /** Log entries between snapshots. */
  readonly snapshotEntries: number;
  readonly sendTo: (address: string, message: ConsensusMessage) => void;
  /** Sends an event back to this actor. */
  readonly sendSelf: (message: ReplicaMessage<Application>) => void;
  /** Ends the process: a replica that can't write must not go on. */
  readonly fail: (error: unknown) => void;
};

type PersistEffect = Extract<ReplicaEffect, { kind: "persist" }>;
type SendEffect = Extract<ReplicaEffect, { kind: "send" }>;

/** A reply that is owed, and when to stop waiting for it. */
type Owed<Outcome> = {
  readonly until: Milliseconds;
  readonly reply: (outcome: Outcome) => void;
};

/**
 * Owns a replica, its journal and the application: carries out the replica's
 * effects in their order and answers those who wait.
 */
export class ReplicaHost<
  Application extends ReplicatedApplication = ControlApplication,
> {
  readonly #options: HostOptions<Application>;
  readonly #proposals = new Map<string, Owed<ProposalOutcome>>();
  readonly #reads = new Map<string, Owed<ReadOutcome>>();
  readonly #results = new Map<number, unknown>();
  #appliedWaits: (Owed<boolean> & { index: number })[] = [];
  #unwritten: PersistEffect[] = [];
  #writing = false;
  #durable = 0;
  #heldBack: SendEffect[] = [];
  #snapshotAt = 0;

  constructor(options: HostOptions<Application>) {
    this.#options = options;
    this.#snapshotAt = options.replica.snapshotIndex;
  }

  handle(message: ReplicaMessage<Application>): void {
    const now = this.#options.clock.now();
    switch (message.kind) {
      case "event":
        this.#drive(message.event);
        break;
      case "propose":
        this.#propose(message, now);
        break;
      case "read":
        this.#read(message, now);
        break;
      case "wait_applied":
        this.#appliedWaits.push({ ...message, until: now + message.timeout });
        break;
      case "inspect":
        message.read(this.#options.application, this.#options.replica);
        break;
      default:
        unreachable(message);
    }
    this.#answerAppliedWaits();
    if (message.kind === "event" && message.event.kind === "tick") {
      this.#expireOwed(now);
    }
  }

  #propose(
    message: Extract<ReplicaMessage<Application>, { kind: "propose" }>,
    now: Milliseconds,
  ): void {
    const token = createToken();
    this.#proposals.set(token, {
      until: now + message.timeout,
      reply: message.reply,
    });
    this.#drive({ kind: "propose", token, command: message.command });
  }

  #read(
    message: Extract<ReplicaMessage<Application>, { kind: "read" }>,
    now: Milliseconds,
  ): void {
    const token = createToken();
    this.#reads.set(token, {
      until: now + message.timeout,
      reply: message.reply,
    });
    this.#drive({ kind: "read", token });
  }

  #drive(event: ReplicaEvent): void {
    const { replica, clock } = this.#options;
    const at = { now: clock.now(), steady: clock.steady() };
    for (const effect of replica.handle(event, at)) {
      this.#carryOut(effect);
    }
    this.#write();
  }

  #carryOut(effect: ReplicaEffect): void {
    switch (effect.kind) {
      case "persist":
        this.#unwritten.push(effect);
        return;
      case "send":
        this.#send(effect);
        return;
      case "apply":
        this.#apply(effect.entry);
        return;
      case "restore":
        this.#restore(effect.snapshot);
        return;
      case "committed":
        this.#onCommitted(effect);
        return;
      case "rejected":
        this.#onRejected(effect);
        return;
      case "read_ready":
        this.#reads.get(effect.token)?.reply({
          kind: "index",
          index: effect.index,
        });
        this.#reads.delete(effect.token);
        return;
      case "role":
        this.#options.log.info(`Is ${effect.role} in term ${effect.term}`, {
          leader: this.#nameOf(effect.leader),
        });
        return;
      default:
        unreachable(effect);
    }
  }

  #send(effect: SendEffect): void {
    if (effect.afterPersist > this.#durable) {
      this.#heldBack.push(effect);
      return;
    }
    const member = this.#options.directory.find(effect.to);
    if (member !== undefined) {
      this.#options.sendTo(member.address, effect.message);
    }
  }

  /** Writes all that waits at once, one write at a time. */
  #write(): void {
    if (this.#writing || this.#unwritten.length === 0) {
      return;
    }
    const batch = this.#unwritten;
    this.#unwritten = [];
    this.#writing = true;
    this.#options.journal.append(batch).then(
      () => this.#onWritten(batch.at(-1)!.number),
      (error) => this.#options.fail(error),
    );
  }

  #onWritten(number: number): void {
    this.#writing = false;
    this.#durable = number;
    const ready = this.#heldBack.filter((effect) =>
      effect.afterPersist <= number
    );
    this.#heldBack = this.#heldBack.filter((effect) =>
      effect.afterPersist > number
    );
    for (const effect of ready) {
      this.#send(effect);
    }
    this.#options.sendSelf({
      kind: "event",
      event: { kind: "persisted", number },
    });
    this.#write();
  }

  #apply(entry: { index: number; kind: string; payload: unknown }): void {
    const { application } = this.#options;
    if (entry.kind !== "command") {
      return;
    }
    const result = application.apply(entry.payload as never);
    this.#results.set(entry.index, result);
    this.#takeSnapshotIfDue(entry.index);
  }

  #takeSnapshotIfDue(index: number): void {
    if (index - this.#snapshotAt < this.#options.snapshotEntries) {
      return;
    }
    this.#snapshotAt = index;
    this.#options.sendSelf({
      kind: "event",
      event: {
        kind: "snapshot_taken",
        index,
        data: this.#options.application.snapshot(),
      },
    });
  }

  #restore(snapshot: LogSnapshot): void {
    this.#options.application.restore(snapshot.data);
    this.#snapshotAt = snapshot.lastIndex;
    this.#options.log.info("Restored a snapshot from the leader", {
      index: snapshot.lastIndex,
    });
  }

  #onCommitted(effect: { token: string; index: number }): void {
    const result = this.#results.get(effect.index);
    this.#proposals.get(effect.token)?.reply({ kind: "done", result });
    this.#proposals.delete(effect.token);
  }

  #onRejected(effect: Extract<ReplicaEffect, { kind: "rejected" }>): void {
    const { directory } = this.#options;
    const leader = directory.find(effect.leader)?.address ?? "";
    const proposal = this.#proposals.get(effect.token);
    this.#proposals.delete(effect.token);
    // A superseded entry was appended, and may be committed after all where
    // another replica holds it.
    proposal?.reply(
      effect.reason === "superseded"
        ? { kind: "unknown" }
        : { kind: "not_leader", leader },
    );
    const read = this.#reads.get(effect.token);
    this.#reads.delete(effect.token);
    read?.reply({ kind: "not_leader", leader });
  }

  #answerAppliedWaits(): void {
    // Results are only of use to proposals, which were answered by now.
    this.#results.clear();
    if (this.#appliedWaits.length === 0) {
      return;
    }
    const applied = this.#options.replica.appliedIndex;
    const waiting: (Owed<boolean> & { index: number })[] = [];
    for (const wait of this.#appliedWaits) {
      if (wait.index <= applied) {
        wait.reply(true);
      } else {
        waiting.push(wait);
      }
    }
    this.#appliedWaits = waiting;
  }

  #expireOwed(now: Milliseconds): void {
    for (const [token, owed] of this.#proposals) {
      if (now >= owed.until) {
        this.#proposals.delete(token);
        owed.reply({ kind: "unknown" });
      }
    }
    for (const [token, owed] of this.#reads) {
      if (now >= owed.until) {
        this.#reads.delete(token);
        owed.reply({ kind: "not_leader", leader: "" });
      }
    }
    const late = this.#appliedWaits.filter((wait) => now >= wait.until);
    this.#appliedWaits = this.#appliedWaits.filter((wait) => now < wait.until);
    for (const wait of late) {
      wait.reply(false);
    }
  }

  #nameOf(id: string): string {
    const unknown = id === "" ? "none" : "unknown";
    return this.#options.directory.find(id)?.name ?? unknown;
  }
}
