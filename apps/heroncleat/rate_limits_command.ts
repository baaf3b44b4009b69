import type { RateLimitView } from "@heroncleat/serving";
import { Result } from "true-myth/result";
import { callAnyPeer } from "./call_any_peer.ts";
import type { CommandResult } from "./command_result.ts";
import { ExitCode } from "./exit_code.ts";
import { formatTable } from "./format_table.ts";
import type { PeerContext } from "./peer_context.ts";

/** Prints the upstreams that state a rate limit, as one replica knows them. */
export async function rateLimitsCommand(
  context: PeerContext,
): Promise<CommandResult> {
  const reply = await callAnyPeer(context, "hub.rate_limits", {});
  if (reply.isErr) {
    return Result.err(reply.error);
  }
  const limits = reply.value as readonly RateLimitView[];
  context.print(
    context.json ? JSON.stringify(limits, null, 2) : formatLimits(limits),
  );
  return Result.ok(ExitCode.done);
}

function formatLimits(limits: readonly RateLimitView[]): string {
  return formatTable(
    ["UPSTREAM", "SERVICE", "ZONE", "PER SECOND", "NEXT PERMIT"],
    limits.map(({ upstream, service, zone, rate, availableIn }) => [
      upstream,
      service ?? "unknown",
      zone ?? "unknown",
      rate,
      availableIn === undefined
        ? "issued elsewhere"
        : `in ${Math.round(availableIn)} ms`,
    ]),
  );
}
