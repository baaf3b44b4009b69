import { createFault, type Milliseconds } from "@heroncleat/base";
import type { SuspectView } from "@heroncleat/serving";
import { Result } from "true-myth/result";
import { callAnyPeer } from "./call_any_peer.ts";
import type { CommandResult } from "./command_result.ts";
import { ExitCode } from "./exit_code.ts";
import { formatTable } from "./format_table.ts";
import type { PeerContext } from "./peer_context.ts";

const MS_PER_SECOND: Milliseconds = 1000;

/** Commands about requests that are suspected of crashing upstreams. */
export const suspectCommands = {
  /** Prints the suspected requests that the first available replica lists. */
  async list(context: PeerContext): Promise<CommandResult> {
    const reply = await callAnyPeer(context, "hub.suspects", {});
    if (reply.isErr) {
      return Result.err(reply.error);
    }
    const suspects = reply.value as readonly SuspectView[];
    context.print(
      context.json
        ? JSON.stringify(suspects, null, 2)
        : formatSuspects(suspects),
    );
    return Result.ok(ExitCode.done);
  },

  /** Makes all entries forward a suspected request again. */
  async clear(context: PeerContext): Promise<CommandResult> {
    const [request] = context.args;
    if (request === undefined) {
      return Result.err(createFault(
        "bad_request",
        "suspect-clear needs a digest. Remedy: use one that suspects lists.",
      ));
    }
    const reply = await callAnyPeer(context, "hub.clear_suspect", { request });
    if (reply.isErr) {
      return Result.err(reply.error);
    }
    if (reply.value !== true) {
      return Result.err(createFault(
        "not_found",
        `No suspected request has the digest ${request}. Remedy: use one ` +
          "that suspects lists.",
      ));
    }
    context.print(`cleared ${request}`);
    return Result.ok(ExitCode.done);
  },
};

function formatSuspects(suspects: readonly SuspectView[]): string {
  return formatTable(
    ["DIGEST", "STANDING", "WORKSPACE", "SERVICE", "BYTES", "ENDED", "AGO"],
    suspects.map((suspect) => [
      suspect.request,
      suspect.standing,
      suspect.workspace,
      suspect.service,
      suspect.size,
      suspect.upstreams.length,
      `${Math.round(suspect.age / MS_PER_SECOND)} s`,
    ]),
  );
}
