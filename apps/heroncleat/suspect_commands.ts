import { createFault, type Milliseconds } from "@heroncleat/base";
import type { SuspectView } from "@heroncleat/serving";
import { Result } from "true-myth/result";
import { callAnyPeer } from "./call_any_peer.ts";
import type { CommandResult } from "./command_result.ts";
import { ExitCode } from "./exit_code.ts";
import { formatTable } from "./format_table.ts";
import type { PeerContext } from "./peer_context.ts";

const SECOND: Milliseconds = 1000;

/** Commands about requests under which upstreams ended. */
export const suspectCommands = {
  /** Shows what the first replica that answers knows. */
  async list(context: PeerContext): Promise<CommandResult> {
    const reply = await callAnyPeer(context, "hub.suspects", {});
    if (reply.isErr) {
      return Result.err(reply.error);
    }
    const suspects = reply.value as readonly SuspectView[];
    context.print(
      context.json ? JSON.stringify(suspects, null, 2) : format(suspects),
    );
    return Result.ok(ExitCode.done);
  },

  /** Has a request sent on again, by all entries. */
  async clear(context: PeerContext): Promise<CommandResult> {
    const [request] = context.words;
    if (request === undefined) {
      return Result.err(createFault(
        "bad_request",
        "suspect-clear needs a digest. Remedy: take one that suspects shows.",
      ));
    }
    const reply = await callAnyPeer(context, "hub.clear_suspect", { request });
    if (reply.isErr) {
      return Result.err(reply.error);
    }
    if (reply.value !== true) {
      return Result.err(createFault(
        "not_found",
        `No request ${request} is suspected. Remedy: take a digest that ` +
          "suspects shows.",
      ));
    }
    context.print(`cleared ${request}`);
    return Result.ok(ExitCode.done);
  },
};

function format(suspects: readonly SuspectView[]): string {
  return formatTable(
    ["DIGEST", "STANDING", "WORKSPACE", "SERVICE", "BYTES", "ENDED", "AGO"],
    suspects.map((suspect) => [
      suspect.request,
      suspect.standing,
      suspect.workspace,
      suspect.service,
      suspect.size,
      suspect.upstreams.length,
      `${Math.round(suspect.age / SECOND)} s`,
    ]),
  );
}
