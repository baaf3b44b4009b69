import { readFileSync } from "node:fs";
import { createFault, type Fault } from "@heroncleat/base";
import {
  compareDocuments,
  type DocumentFinding,
  findDocumentErrors,
  findDocumentWarnings,
} from "@heroncleat/serving";
import { Result } from "true-myth/result";
import { callAnyPeer } from "../call_any_peer.ts";
import type { CommandResult } from "../command_result.ts";
import { ExitCode } from "../exit_code.ts";
import { usageFault } from "../usage_fault.ts";
import type { CheckOptions } from "./check_options.ts";
import { formatCheck } from "./format_check.ts";

/** Checks a configuration document before it is sent. */
export async function checkCommand(
  options: CheckOptions,
): Promise<CommandResult> {
  const { args, against, peers, decode } = options;
  const [file, ...rest] = args;
  if (file === undefined || rest.length > 0) {
    return Result.err(
      usageFault("check needs one file", "use heroncleat check FILE"),
    );
  }
  if (against !== undefined && peers !== undefined) {
    return Result.err(
      usageFault("--against and --peers exclude each other", "give one"),
    );
  }
  const source = readSource(file);
  if (source.isErr) {
    return Result.err(source.error);
  }
  const inForce = await readInForce(options);
  if (inForce.isErr) {
    return Result.err(inForce.error);
  }
  const decoded = decode(source.value);
  if (decoded.kind === "unreadable") {
    return finish(options, [{
      severity: "error",
      path: "",
      message: removeExcerpt(decoded.problem),
    }], undefined);
  }
  const { document } = decoded;
  const findings = [
    ...findDocumentErrors(document),
    ...findDocumentWarnings(document),
  ];
  if (inForce.value === undefined) {
    if (peers !== undefined && !options.json) {
      options.print("No version is in force yet.");
    }
    return finish(options, findings, undefined);
  }
  const other = decode(inForce.value);
  return other.kind === "unreadable"
    ? Result.err(createFault(
      "settings",
      `The document to compare with can't be decoded: ${
        removeExcerpt(other.problem)
      }`,
    ))
    : finish(options, findings, compareDocuments(other.document, document));
}

function finish(
  { isStrict, json, print }: CheckOptions,
  findings: readonly DocumentFinding[],
  differences: ReturnType<typeof compareDocuments> | undefined,
): CommandResult {
  print(
    json
      ? JSON.stringify({ findings, differences }, undefined, 2)
      : formatCheck(findings, differences),
  );
  const hasFailed = findings.some(({ severity }) =>
    isStrict || severity === "error"
  );
  return Result.ok(hasFailed ? ExitCode.failed : ExitCode.done);
}

/** Undefined if no version is asked for, or none is in force. */
async function readInForce(
  options: CheckOptions,
): Promise<Result<string | undefined, Fault>> {
  if (options.against !== undefined) {
    return readSource(options.against);
  }
  if (options.peers === undefined) {
    return Result.ok(undefined);
  }
  const reply = await callAnyPeer(options, "hub.read_document", {});
  if (reply.isErr) {
    return Result.err(reply.error);
  }
  if (reply.value === "unavailable") {
    return Result.err(createFault(
      "no_quorum",
      "No quorum confirmed the version in force. Remedy: retry.",
    ));
  }
  return Result.ok(
    reply.value === "none"
      ? undefined
      : (reply.value as { source: string }).source,
  );
}

function readSource(file: string): Result<string, Fault> {
  try {
    return Result.ok(readFileSync(file, "utf8"));
  } catch (error) {
    return Result.err(usageFault(
      `${file} can't be read (${(error as Error).message})`,
      "give a readable file",
    ));
  }
}

/** The message of JSON.parse contains an excerpt, which may hold a key. */
function removeExcerpt(problem: string): string {
  return problem.replace(
    /(, )?(\.\.\.)?".*" is not valid JSON/s,
    " is not valid JSON",
  );
}
