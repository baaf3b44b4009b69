import { createFault, type Milliseconds } from "@heroncleat/base";
import type { Rollout } from "@heroncleat/rollouts";
import { Result } from "true-myth/result";
import { callAnyPeer } from "./call_any_peer.ts";
import type { CommandResult } from "./command_result.ts";
import { ExitCode } from "./exit_code.ts";
import { formatTable } from "./format_table.ts";
import type { PeerContext } from "./peer_context.ts";

const MS_PER_SECOND: Milliseconds = 1000;
/** What a replica replies to an order that it doesn't accept. */
const REFUSALS: Readonly<Record<string, string>> = {
  conflicting: "A rollout to another version is in progress. Remedy: wait " +
    "for its end, which rollout shows.",
  unknown_service: "The configuration has no such service. Remedy: check the " +
    "name.",
  unavailable: "No quorum confirmed the order. Remedy: send it again.",
};

/** Commands about rollouts of new versions. */
export const rolloutCommands = {
  /** Orders a rollout: SERVICE VERSION SECONDS. */
  async start(context: PeerContext): Promise<CommandResult> {
    const [service = "", destination = "", seconds] = context.args;
    const duration = Number(seconds) * MS_PER_SECOND;
    if (service === "" || destination === "" || !(duration > 0)) {
      return Result.err(createFault(
        "bad_request",
        "rollout-start needs a service, a version and a duration. Remedy: " +
          "rollout-start SERVICE VERSION SECONDS.",
      ));
    }
    const order = { service, destination, duration };
    const reply = await callAnyPeer(context, "hub.start_rollout", order);
    if (reply.isErr) {
      return Result.err(reply.error);
    }
    const refusal = REFUSALS[String(reply.value)];
    if (refusal !== undefined) {
      return Result.err(createFault("conflict", refusal));
    }
    context.print(`ordered ${service} to ${destination}`);
    return Result.ok(ExitCode.done);
  },

  /** Prints the latest rollout of a service. */
  async show(context: PeerContext): Promise<CommandResult> {
    const [service = ""] = context.args;
    const reply = await callAnyPeer(context, "hub.read_rollout", { service });
    if (reply.isErr) {
      return Result.err(reply.error);
    }
    if (typeof reply.value === "string") {
      return Result.err(createFault(
        "not_found",
        reply.value === "none"
          ? `The service ${service} has no rollout. Remedy: check the name.`
          : "No quorum confirmed the rollout. Remedy: ask again.",
      ));
    }
    const rollout = reply.value as Rollout;
    context.print(
      context.json ? JSON.stringify(rollout, null, 2) : formatRollout(rollout),
    );
    return Result.ok(ExitCode.done);
  },
};

function formatRollout(rollout: Rollout): string {
  const { service, destination, stage, share, reason, startedAt } = rollout;
  return formatTable(
    ["SERVICE", "VERSION", "STAGE", "SHARE", "ORDERED", "REASON"],
    [[
      service,
      destination,
      stage,
      share,
      new Date(startedAt).toISOString(),
      reason,
    ]],
  );
}
