import { readFileSync } from "node:fs";
import { createFault, type Milliseconds, splitList } from "@heroncleat/base";
import { PeerPool } from "@heroncleat/transport";
import { Result } from "true-myth/result";
import type { PeerContext } from "./peer_context.ts";

const CALL_TIMEOUT: Milliseconds = 3000;

/** Calls the control replicas in order until one replies. */
export async function callAnyPeer(
  context: PeerContext,
  method: string,
  parameters: object,
): Promise<Result<unknown, ReturnType<typeof createFault>>> {
  if (context.peers === undefined) {
    return Result.err(createFault(
      "bad_request",
      "--peers is missing. Remedy: give the peer addresses of control " +
        "replicas with --peers HOST:PORT[,...].",
    ));
  }
  const secret = readSecret(context.secretFile);
  if (secret.isErr) {
    return Result.err(secret.error);
  }
  const pool = new PeerPool({
    secret: secret.value,
    connectTimeout: CALL_TIMEOUT,
    localHost: "",
  });
  const problems: string[] = [];
  try {
    for (const address of splitList(context.peers)) {
      try {
        const options = { parameters, timeout: CALL_TIMEOUT };
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
    `No control replica replied (${problems.join("; ")}). Remedy: check ` +
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
      `${file} can't be read (${(error as Error).message}). Remedy: give ` +
        "a file with the shared secret of the processes in --secret-file.",
    ));
  }
}
