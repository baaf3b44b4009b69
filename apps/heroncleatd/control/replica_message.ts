import type { Milliseconds } from "@heroncleat/base";
import type { Replica, ReplicaEvent } from "@heroncleat/consensus";
import type { ControlApplication } from "./control_application.ts";
import type { ProposalOutcome } from "./proposal_outcome.ts";
import type { ReadOutcome } from "./read_outcome.ts";
import type { ReplicatedApplication } from "./replicated_application.ts";

/** Messages to the actor that owns the replica. */
export type ReplicaMessage<
  Application extends ReplicatedApplication = ControlApplication,
> =
  | { readonly kind: "event"; readonly event: ReplicaEvent }
  | {
    readonly kind: "propose";
    readonly command: unknown;
    readonly timeout: Milliseconds;
    readonly reply: (outcome: ProposalOutcome) => void;
  }
  | {
    readonly kind: "read";
    readonly timeout: Milliseconds;
    readonly reply: (outcome: ReadOutcome) => void;
  }
  /** Replies once the log is applied up to an index; `false` on a timeout. */
  | {
    readonly kind: "wait_applied";
    readonly index: number;
    readonly timeout: Milliseconds;
    readonly reply: (applied: boolean) => void;
  }
  | {
    readonly kind: "inspect";
    readonly read: (application: Application, replica: Replica) => void;
  };
