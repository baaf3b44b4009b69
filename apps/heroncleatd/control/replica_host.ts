import type { Clock, Milliseconds } from "@heroncleat/base";
import { createToken, unreachable } from "@heroncleat/base";
import {
  type Replica,
  type ReplicaEffect,
  type ReplicaEvent,
  ReplicaRole,
} from "@heroncleat/consensus";
import type { Journal } from "@heroncleat/journal";
import type { ConsensusMessage, LogSnapshot } from "@heroncleat/schema";
import type { Log } from "../common/log.ts";
import type { ControlApplication } from "./control_application.ts";
import type { MemberDirectory } from "./member_directory.ts";
import { PendingProposals } from "./pending_proposals.ts";
import type { ReadOutcome } from "./read_outcome.ts";
import type { ReplicaMessage } from "./replica_message.ts";
import type { ReplicatedApplication } from "./replicated_application.ts";

type ReplicaHostOptions<Application extends ReplicatedApplication> = {
  readonly replica: Replica;
  readonly application: Application;
  readonly journal: Journal;
  readonly directory: MemberDirectory;
  readonly clock: Clock;
  readonly log: Log;
  /** Number of log entries after which a snapshot is taken. */
  readonly snapshotEntries: number;
  /**
   * Size of the journal at which a snapshot is taken sooner, in bytes. It is at
   * least the size of the last snapshot, so that snapshots at most double what
   * is written.
   */
  readonly snapshotBytes: number;
  /**
   * Whether a command that is proposed again need only be applied once; none
   * is unless stated.
   */
  readonly isRepetition?: (earlier: unknown, later: unknown) => boolean;
  readonly sendTo: (address: string, message: ConsensusMessage) => void;
  /** Enqueues a message to the actor that runs this host. */
  readonly sendSelf: (message: ReplicaMessage<Application>) => void;
  /** Stops the replica; it must not continue after a failed write. */
  readonly fail: (error: unknown) => void;
};

type PersistEffect = Extract<ReplicaEffect, { kind: "persist" }>;
type SendEffect = Extract<ReplicaEffect, { kind: "send" }>;

type PendingReply<Outcome> = {
  readonly deadline: Milliseconds;
  readonly reply: (outcome: Outcome) => void;
};

/**
 * Owns a replica, its journal and the application. Executes the effects of the
 * replica in order and replies to pending proposals and reads.
 */
export class ReplicaHost<
  Application extends ReplicatedApplication = ControlApplication,
> {
  readonly #options: ReplicaHostOptions<Application>;
  readonly #proposals: PendingProposals;
  readonly #reads = new Map<string, PendingReply<ReadOutcome>>();
  readonly #results = new Map<number, unknown>();
  #appliedWaits: (PendingReply<boolean> & { index: number })[] = [];
  #pendingWrites: PersistEffect[] = [];
  #isWriting = false;
  #persistedNumber = 0;
  #deferredSends: SendEffect[] = [];
  #snapshotIndex = 0;
  /** Set from a snapshot until it is on disk. */
  #isSnapshotPending = false;

  constructor(options: ReplicaHostOptions<Application>) {
    this.#options = options;
    this.#proposals = new PendingProposals(
      options.isRepetition ?? (() => false),
    );
    this.#snapshotIndex = options.replica.snapshotIndex;
  }

  handle(message: ReplicaMessage<Application>): void {
    const now = this.#options.clock.now();
    switch (message.kind) {
      case "event":
        this.#handleEvent(message.event);
        break;
      case "propose":
        this.#propose(message, now);
        break;
      case "read":
        this.#read(message, now);
        break;
      case "wait_applied":
        this.#appliedWaits.push({
          ...message,
          deadline: now + message.timeout,
        });
        break;
      case "inspect":
        message.read(this.#options.application, this.#options.replica);
        break;
      default:
        unreachable(message);
    }
    this.#resolveAppliedWaits();
    if (message.kind === "event" && message.event.kind === "tick") {
      this.#expirePendingReplies(now);
    }
  }

  #propose(
    message: Extract<ReplicaMessage<Application>, { kind: "propose" }>,
    now: Milliseconds,
  ): void {
    const { command, reply, timeout } = message;
    const { role, term } = this.#options.replica;
    const proposer = { term, deadline: now + timeout, reply };
    const isLeading = role === ReplicaRole.leader;
    if (isLeading && this.#proposals.join(command, proposer)) {
      this.#options.log.debug("A command is in the log already", { term });
      return;
    }
    const token = createToken();
    this.#proposals.add(token, { command, ...proposer });
    this.#handleEvent({ kind: "propose", token, command });
  }

  #read(
    message: Extract<ReplicaMessage<Application>, { kind: "read" }>,
    now: Milliseconds,
  ): void {
    const token = createToken();
    this.#reads.set(token, {
      deadline: now + message.timeout,
      reply: message.reply,
    });
    this.#handleEvent({ kind: "read", token });
  }

  #handleEvent(event: ReplicaEvent): void {
    const { replica, clock } = this.#options;
    const instant = { now: clock.now(), steady: clock.steady() };
    const effects = replica.handle(event, instant);
    for (const effect of effects) {
      this.#execute(effect);
    }
    if (event.kind === "snapshot_taken" && !effects.some(isSnapshotEffect)) {
      // A newer snapshot of the leader came first.
      this.#isSnapshotPending = false;
    }
    this.#takeSnapshotIfDue();
    this.#writePending();
  }

  #execute(effect: ReplicaEffect): void {
    switch (effect.kind) {
      case "persist":
        this.#pendingWrites.push(effect);
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
    if (effect.afterPersist > this.#persistedNumber) {
      this.#deferredSends.push(effect);
      return;
    }
    const member = this.#options.directory.find(effect.to);
    if (member !== undefined) {
      this.#options.sendTo(member.address, effect.message);
    }
  }

  /** Appends all pending effects to the journal, one write at a time. */
  #writePending(): void {
    if (this.#isWriting || this.#pendingWrites.length === 0) {
      return;
    }
    const batch = this.#pendingWrites;
    this.#pendingWrites = [];
    this.#isWriting = true;
    this.#options.journal.append(batch).then(
      () => this.#onPersisted(batch),
      (error) => this.#options.fail(error),
    );
  }

  #onPersisted(batch: readonly PersistEffect[]): void {
    const { number } = batch.at(-1)!;
    this.#isWriting = false;
    if (batch.some(isSnapshotEffect)) {
      this.#isSnapshotPending = false;
    }
    this.#persistedNumber = number;
    const sendable = this.#deferredSends.filter((effect) =>
      effect.afterPersist <= number
    );
    this.#deferredSends = this.#deferredSends.filter((effect) =>
      effect.afterPersist > number
    );
    for (const effect of sendable) {
      this.#send(effect);
    }
    this.#options.sendSelf({
      kind: "event",
      event: { kind: "persisted", number },
    });
    this.#writePending();
  }

  #apply(entry: { index: number; kind: string; payload: unknown }): void {
    const { application } = this.#options;
    if (entry.kind !== "command") {
      return;
    }
    const result = application.apply(entry.payload as never);
    this.#results.set(entry.index, result);
  }

  #takeSnapshotIfDue(): void {
    const { journal, replica, snapshotBytes, snapshotEntries } = this.#options;
    const index = replica.appliedIndex;
    if (this.#isSnapshotPending || index === this.#snapshotIndex) {
      return;
    }
    const maxBytes = Math.max(snapshotBytes, journal.snapshotBytes);
    if (
      index - this.#snapshotIndex < snapshotEntries &&
      journal.recordBytes < maxBytes
    ) {
      return;
    }
    this.#snapshotIndex = index;
    this.#isSnapshotPending = true;
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
    this.#snapshotIndex = snapshot.lastIndex;
    this.#options.log.info("Restored the state from a snapshot of the leader", {
      index: snapshot.lastIndex,
    });
  }

  #onCommitted(effect: { token: string; index: number }): void {
    const result = this.#results.get(effect.index);
    this.#proposals.settle(effect.token, { kind: "done", result });
  }

  #onRejected(effect: Extract<ReplicaEffect, { kind: "rejected" }>): void {
    const { directory } = this.#options;
    const leader = directory.find(effect.leader)?.address ?? "";
    // A superseded entry was appended and may still be committed, if another
    // replica has it.
    this.#proposals.settle(
      effect.token,
      effect.reason === "superseded"
        ? { kind: "unknown" }
        : { kind: "not_leader", leader },
    );
    const read = this.#reads.get(effect.token);
    this.#reads.delete(effect.token);
    read?.reply({ kind: "not_leader", leader });
  }

  #resolveAppliedWaits(): void {
    // Only proposals use the results, and they have their replies by now.
    this.#results.clear();
    if (this.#appliedWaits.length === 0) {
      return;
    }
    const applied = this.#options.replica.appliedIndex;
    const remaining: (PendingReply<boolean> & { index: number })[] = [];
    for (const wait of this.#appliedWaits) {
      if (wait.index <= applied) {
        wait.reply(true);
      } else {
        remaining.push(wait);
      }
    }
    this.#appliedWaits = remaining;
  }

  #expirePendingReplies(now: Milliseconds): void {
    this.#proposals.expire(now, this.#options.replica.term);
    for (const [token, pending] of this.#reads) {
      if (now >= pending.deadline) {
        this.#reads.delete(token);
        pending.reply({ kind: "not_leader", leader: "" });
      }
    }
    const expired = this.#appliedWaits.filter((wait) => now >= wait.deadline);
    this.#appliedWaits = this.#appliedWaits.filter((wait) =>
      now < wait.deadline
    );
    for (const wait of expired) {
      wait.reply(false);
    }
  }

  #nameOf(id: string): string {
    const fallback = id === "" ? "none" : "unknown";
    return this.#options.directory.find(id)?.name ?? fallback;
  }
}

function isSnapshotEffect(effect: ReplicaEffect): boolean {
  return effect.kind === "persist" && effect.snapshot !== undefined;
}
