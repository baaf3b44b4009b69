import type { Milliseconds } from "@heroncleat/base";
import type { Replica } from "@heroncleat/consensus";
import type { Actor } from "../common/actor.ts";
import type { ControlApplication } from "./control_application.ts";
import type { ControlCommand } from "./control_command.ts";
import type { ProposalOutcome } from "./proposal_outcome.ts";
import type { ReadOutcome } from "./read_outcome.ts";
import type { ReplicaMessage } from "./replica_message.ts";
import type { ReplicatedApplication } from "./replicated_application.ts";

/** Promise-based access to the actor that owns the replica. */
export class ReplicaAccess<
  Application extends ReplicatedApplication = ControlApplication,
  Command = ControlCommand,
> {
  readonly #actor: Actor<ReplicaMessage<Application>>;

  constructor(actor: Actor<ReplicaMessage<Application>>) {
    this.#actor = actor;
  }

  propose(
    command: Command,
    timeout: Milliseconds,
  ): Promise<ProposalOutcome> {
    return new Promise((resolve) => {
      const sent = this.#actor.send({
        kind: "propose",
        command,
        timeout,
        reply: resolve,
      });
      if (!sent) {
        resolve({ kind: "not_leader", leader: "" });
      }
    });
  }

  readIndex(timeout: Milliseconds): Promise<ReadOutcome> {
    return new Promise((resolve) => {
      if (!this.#actor.send({ kind: "read", timeout, reply: resolve })) {
        resolve({ kind: "not_leader", leader: "" });
      }
    });
  }

  waitApplied(index: number, timeout: Milliseconds): Promise<boolean> {
    return new Promise((resolve) => {
      const sent = this.#actor.send({
        kind: "wait_applied",
        index,
        timeout,
        reply: resolve,
      });
      if (!sent) {
        resolve(false);
      }
    });
  }

  /** Reads the local state, which may lag behind the leader's. */
  inspect<Value>(
    read: (application: Application, replica: Replica) => Value,
  ): Promise<Value> {
    return new Promise((resolve, reject) => {
      const sent = this.#actor.send({
        kind: "inspect",
        read: (application, replica) => resolve(read(application, replica)),
      });
      if (!sent) {
        reject(new Error("The mailbox of the replica's actor is full."));
      }
    });
  }
}
