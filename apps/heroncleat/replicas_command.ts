import type { GroupState } from "@heroncleat/consensus";
import { Result } from "true-myth/result";
import { callAnyPeer } from "./call_any_peer.ts";
import type { CommandResult } from "./command_result.ts";
import { ExitCode } from "./exit_code.ts";
import { formatTable } from "./format_table.ts";
import type { PeerContext } from "./peer_context.ts";

/**
 * Prints the members of the group of control replicas behind request
 * forwarding, and which parts of its fault-tolerance target aren't met.
 */
export async function replicasCommand(
  context: PeerContext,
): Promise<CommandResult> {
  const reply = await callAnyPeer(context, "hub.status", {});
  if (reply.isErr) {
    return Result.err(reply.error);
  }
  const state = reply.value as GroupState;
  context.print(
    context.json ? JSON.stringify(state, null, 2) : formatGroupState(state),
  );
  return Result.ok(state.unkept.length === 0 ? ExitCode.done : ExitCode.failed);
}

function formatGroupState(
  { leader, members, promised, unkept }: GroupState,
): string {
  const table = formatTable(
    ["NAME", "ZONE", "ADDRESS", "ROLE"],
    members.map(({ name, zone, address, voter }) => [
      name,
      zone,
      address,
      name === leader ? "leader" : voter ? "voter" : "learner",
    ]),
  );
  const { machines, zones, regions } = promised;
  const lines = unkept.length === 0
    ? [
      `Bears the loss of ${machines} VMs, ${zones} zones or ${regions} ` +
      "regions, as promised.",
    ]
    : unkept;
  return [table, ...lines].join("\n");
}
