import { readFileSync } from "node:fs";
import { createFault, type Milliseconds, splitList } from "@heroncleat/base";
import type { SuspectView } from "@heroncleat/serving";
import { PeerPool } from "@heroncleat/transport";
import { Result } from "true-myth/result";
import type { CommandResult } from "./command_result.ts";
import { ExitCode } from "./exit_code.ts";
import { formatTable } from "./format_table.ts";

const TIMEOUT: Milliseconds = 3000;
const SECOND: Milliseconds = 1000;

/** What these commands work with. */
type SuspectContext = {
  readonly words: readonly string[];
  /** host:port of control replicas for other processes, by commas. */
  readonly peers: string | undefined;
  /** File with the secret of the processes; none where they share none. */
  readonly secretFile: string | undefined;
  readonly json: boolean;
  readonly print: (text: string) => void;
};

/** Commands about requests under which upstreams ended. */
export const suspectCommands = {
  /** Shows what the first replica that answers knows. */
  async list(context: SuspectContext): Promise<CommandResult> {
    const reply = await callAny(context, "hub.suspects", {});
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
  async clear(context: SuspectContext): Promise<CommandResult> {
    const [request] = context.words;
    if (request === undefined) {
      return Result.err(createFault(
        "bad_request",
        "suspect-clear needs a digest. Remedy: take one that suspects shows.",
      ));
    }
    const reply = await callAny(context, "hub.clear_suspect", { request });
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

/** Asks one replica after the other until one answers. */
async function callAny(
  context: SuspectContext,
  method: string,
  parameters: object,
): Promise<Result<unknown, ReturnType<typeof createFault>>> {
  if (context.peers === undefined) {
    return Result.err(createFault(
      "bad_request",
      "--peers is missing. Remedy: give the peer addresses of control " +
        "replicas, --peers HOST:PORT[,...].",
    ));
  }
  const secret = readSecret(context.secretFile);
  if (secret.isErr) {
    return Result.err(secret.error);
  }
  const pool = new PeerPool({
    secret: secret.value,
    connectTimeout: TIMEOUT,
    localHost: "",
  });
  const problems: string[] = [];
  try {
    for (const address of splitList(context.peers)) {
      try {
        const options = { parameters, timeout: TIMEOUT };
        return Result.ok(await pool.call(address, method, options));
      } catch (error) {
        problems.push(`${address}: ${(error as Error).message}`);
      }
    }
  } finally {
    pool.close();
  }
  return Result.err(createFault(
    "no_quorum",
    `No control replica answered (${problems.join("; ")}). Remedy: check ` +
      "--peers and --secret-file.",
  ));
}

function readSecret(
  file: string | undefined,
): Result<string, ReturnType<typeof createFault>> {
  try {
    return Result.ok(
      file === undefined ? "" : readFileSync(file, "utf8").trim(),
    );
  } catch (error) {
    return Result.err(createFault(
      "settings",
      `${file} can't be read (${(error as Error).message}). Remedy: name a ` +
        "file that holds the processes' shared secret with --secret-file.",
    ));
  }
}
