import type { Milliseconds } from "@heroncleat/base";
import {
  checkConsensusMessage,
  type JoinReply,
  type ReplicaMember,
} from "@heroncleat/schema";
import type { MethodHandler } from "@heroncleat/transport";
import type { ConfirmedReads } from "./confirmed_reads.ts";
import type { ControlCommand } from "./control_command.ts";
import { isControlCommand } from "./is_control_command.ts";
import type { ReplicaAccess } from "./replica_access.ts";

type MethodOptions = {
  readonly self: ReplicaMember;
  readonly founders: readonly ReplicaMember[];
  readonly replica: ReplicaAccess;
  readonly reads: ConfirmedReads;
  readonly wall: () => Milliseconds;
  readonly onMessage: (message: unknown) => void;
  /** Methods of the group reconciler. */
  readonly membership: Readonly<Record<string, MethodHandler>>;
};

const DEFAULT_TIMEOUT_MS = 2000;

/** Methods that a control replica serves to entries and to other replicas. */
export function controlMethods(
  options: MethodOptions,
): Record<string, MethodHandler> {
  const { replica, reads } = options;
  return {
    "control.consensus": (message) => {
      if (checkConsensusMessage(message)) {
        options.onMessage(message);
      }
    },
    "control.join": async (): Promise<JoinReply> => ({
      formed: true,
      self: options.self,
      members: [...await replica.inspect((_, state) => state.members)],
      founders: [...options.founders],
    }),
    ...options.membership,
    "control.read_index": () => replica.readIndex(DEFAULT_TIMEOUT_MS),
    "control.propose": (parameters) => {
      const { command, timeout } = parameters as {
        command: unknown;
        timeout?: Milliseconds;
      };
      if (!isControlCommand(command)) {
        throw new Error(
          "The command is malformed. Remedy: run the same release on all VMs.",
        );
      }
      return replica.propose(
        withTimestamp(command, options.wall()),
        timeout ?? DEFAULT_TIMEOUT_MS,
      );
    },
    "control.renew": async (parameters) => {
      const { revision } = parameters as { revision: number };
      const confirmation = await reads.confirm();
      if (confirmation.kind === "not_leader") {
        return { kind: "not_leader", leader: "" };
      }
      return await replica.inspect((application) => ({
        kind: "renewed",
        revision: application.configuration.revision,
        catchUp: application.configuration.catchUpFrom(revision),
      }));
    },
    "control.find_claim": async (parameters) => {
      const { workspace, key } = parameters as {
        workspace: string;
        key: string;
      };
      const confirmation = await reads.confirm();
      if (confirmation.kind === "not_leader") {
        return { kind: "not_leader", leader: "" };
      }
      return await replica.inspect((application) => ({
        kind: "found",
        claim: application.ledger.find(workspace, key) ?? null,
      }));
    },
    "control.find_custody": async (parameters) => {
      const { request } = parameters as { request: string };
      const confirmation = await reads.confirm();
      if (confirmation.kind === "not_leader") {
        return { kind: "not_leader", leader: "" };
      }
      return await replica.inspect((application) => ({
        kind: "found",
        custody: application.ledger.custodyOf(request),
      }));
    },
    "control.status": () =>
      replica.inspect((application, state) => ({
        kind: "status",
        name: options.self.name,
        id: options.self.id,
        zone: options.self.zone,
        role: state.role,
        term: state.term,
        leader: state.leader,
        commitIndex: state.commitIndex,
        revision: application.configuration.revision,
        members: state.members,
      })),
  };
}

/**
 * Sets the command's time from the clock of the accepting replica, so that all
 * replicas apply the same time.
 */
function withTimestamp(
  command: ControlCommand,
  at: Milliseconds,
): ControlCommand {
  switch (command.kind) {
    case "change":
    case "refusal":
      return { ...command, change: { ...command.change, at } };
    case "order":
      return command;
    default:
      return { ...command, at };
  }
}
