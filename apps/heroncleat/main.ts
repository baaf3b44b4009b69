#!/usr/bin/env node
/**
 * The command-line tool for operators.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { decodeDocument } from "@heroncleat/platform/decode_document";
import { auditCommand } from "./audit_command.ts";
import { checkCommand } from "./check/check_command.ts";
import type { CommandContext } from "./command_context.ts";
import type { CommandResult } from "./command_result.ts";
import { ExitCode } from "./exit_code.ts";
import { explainCommand } from "./explain/explain_command.ts";
import { groupCommands } from "./group_commands.ts";
import { limitCommands } from "./limit_commands.ts";
import { lossesCommand } from "./losses/losses_command.ts";
import { OperatorClient } from "./operator_client.ts";
import { rolloutCommands } from "./rollout_commands.ts";
import { selectorCommands } from "./selector_commands.ts";
import type { PeerContext } from "./peer_context.ts";
import { rateLimitsCommand } from "./rate_limits_command.ts";
import { replicasCommand } from "./replicas_command.ts";
import { statusCommand } from "./status_command.ts";
import { suspectCommands } from "./suspect_commands.ts";
import { upstreamCommands } from "./upstream_commands.ts";
import { watchCommand } from "./watch_command.ts";

const VERSION = "0.1.0";
const HELP = `heroncleat, the command-line tool for operators.

Usage: heroncleat --control HOST:PORT[,...] --token-file FILE COMMAND

  status                                replicas, entries, upstreams
  groups                                all groups
  group-set NAME key=value ... [--share N]
  group-remove NAME
  drain NAME                            send no new requests to a group
  fill NAME --share N                   send requests to a group with weight N
  selectors                             all selectors
  selector-set NAME --groups A,B [--order N] [--idempotent true|false]
               [workspace=W] [model=M] [service=S] [method=M] [pathPrefix=P]
  selector-remove NAME
  limits                                limits of workspaces
  limit-set WORKSPACE [--weight N] [--running N] [--queued N]
  limit-remove WORKSPACE
  labels-set UPSTREAM key=value ...     labels that override the announced ones
  order UPSTREAM load_model|unload_model|set_role VALUE
  orders                                orders and their states
  audit                                 the audit trail
  watch [--revision N] [--count N]      print each new revision

  replicas --peers HOST:PORT[,...] [--secret-file FILE]
                                        members of the forwarding group, and
                                        unmet fault-tolerance targets
  suspects --peers HOST:PORT[,...] [--secret-file FILE]
                                        requests suspected of crashing upstreams
  suspect-clear DIGEST --peers HOST:PORT[,...] [--secret-file FILE]
                                        allow forwarding one of them again
  rate-limits --peers HOST:PORT[,...] [--secret-file FILE]
                                        upstreams that limit their requests
  rollout-start SERVICE VERSION SECONDS --peers HOST:PORT[,...]
                [--secret-file FILE]    move a service to a version, or back
  rollout SERVICE --peers HOST:PORT[,...] [--secret-file FILE]
                                        its latest rollout, and why it ended

  check FILE [--against FILE | --peers HOST:PORT[,...] [--secret-file FILE]]
        [--strict]                      errors and warnings of a configuration,
                                        and differences from another version

  explain REQUEST_ID --logs FILE [FILE ...]
                                        timeline of one request from logs
  losses --logs FILE [FILE ...]         which requests were late, refused or
                                        failed, when and why

  --json           print JSON
  --revision N     revision that the change is based on
  --change-id ID   ID of the change, to retry it

HERONCLEAT_CONTROL and HERONCLEAT_TOKEN_FILE in the environment are the
defaults of --control and --token-file.
Exit codes: 0 done, 1 failed, errors found or fault tolerance not met, 2 bad usage, 3 conflict, 4 refused.
`;

type Command = (context: CommandContext) => Promise<CommandResult>;

const COMMANDS: Readonly<Record<string, Command>> = {
  "status": statusCommand,
  "groups": groupCommands.list,
  "group-set": groupCommands.set,
  "group-remove": groupCommands.remove,
  "drain": groupCommands.drain,
  "fill": groupCommands.fill,
  "selectors": selectorCommands.list,
  "selector-set": selectorCommands.set,
  "selector-remove": selectorCommands.remove,
  "limits": limitCommands.list,
  "limit-set": limitCommands.set,
  "limit-remove": limitCommands.remove,
  "labels-set": upstreamCommands.setLabels,
  "order": upstreamCommands.order,
  "orders": upstreamCommands.orders,
  "audit": auditCommand,
  "watch": watchCommand,
};

/** Reads files, and the version in force from the control replicas. */
const CHECK = "check";
/** These commands read log files only. */
const EXPLAIN = "explain";
const LOSSES = "losses";
/** These commands call the control replicas over the peer protocol. */
const PEER_COMMANDS: Readonly<
  Record<string, (context: PeerContext) => Promise<CommandResult>>
> = {
  "rate-limits": rateLimitsCommand,
  "replicas": replicasCommand,
  "rollout": rolloutCommands.show,
  "rollout-start": rolloutCommands.start,
  "suspects": suspectCommands.list,
  "suspect-clear": suspectCommands.clear,
};

process.exitCode = await main();

async function main(): Promise<number> {
  let parsed: ReturnType<typeof parse>;
  try {
    parsed = parse();
  } catch (error) {
    return failUsage((error as Error).message);
  }
  const { values, positionals } = parsed;
  if (values.help) {
    process.stdout.write(HELP);
    return ExitCode.done;
  }
  if (values.version) {
    process.stdout.write(`heroncleat ${VERSION}\n`);
    return ExitCode.done;
  }
  const [name = "", ...args] = positionals;
  if (name === EXPLAIN) {
    return finish(explainCommand({
      args,
      logs: values.logs,
      json: values.json ?? false,
      print,
    }));
  }
  if (name === LOSSES) {
    const files = values.logs === undefined ? [] : [values.logs, ...args];
    return finish(lossesCommand(files, print));
  }
  if (name === CHECK) {
    return finish(
      await checkCommand({
        args,
        against: values.against,
        peers: values.peers,
        secretFile: values["secret-file"],
        isStrict: values.strict ?? false,
        json: values.json ?? false,
        decode: decodeDocument,
        print,
      }),
    );
  }
  if (Object.hasOwn(PEER_COMMANDS, name)) {
    return finish(
      await PEER_COMMANDS[name]!({
        args,
        peers: values.peers,
        secretFile: values["secret-file"],
        json: values.json ?? false,
        print,
      }),
    );
  }
  const command = Object.hasOwn(COMMANDS, name) ? COMMANDS[name] : undefined;
  if (command === undefined) {
    return failUsage(`There is no command "${name}".`);
  }
  const control = values.control ?? process.env["HERONCLEAT_CONTROL"];
  const tokenFile = values["token-file"] ??
    process.env["HERONCLEAT_TOKEN_FILE"];
  if (control === undefined || tokenFile === undefined) {
    return failUsage("--control or --token-file is missing.");
  }
  const client = OperatorClient.create(control, tokenFile);
  if (client.isErr) {
    return fail(client.error.message);
  }
  const result = await command({
    client: client.value,
    args,
    json: values.json ?? false,
    options: values as Record<string, string | undefined>,
    print,
  });
  return finish(result);
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function finish(result: CommandResult): number {
  if (result.isOk) {
    return result.value;
  }
  const code = fail(result.error.message);
  return result.error.kind === "bad_request" ? ExitCode.badUsage : code;
}

function parse() {
  return parseArgs({
    allowPositionals: true,
    options: {
      "control": { type: "string" },
      "token-file": { type: "string" },
      "json": { type: "boolean" },
      "help": { type: "boolean" },
      "version": { type: "boolean" },
      "share": { type: "string" },
      "groups": { type: "string" },
      "order": { type: "string" },
      "idempotent": { type: "string" },
      "weight": { type: "string" },
      "running": { type: "string" },
      "queued": { type: "string" },
      "revision": { type: "string" },
      "change-id": { type: "string" },
      "count": { type: "string" },
      "logs": { type: "string" },
      "peers": { type: "string" },
      "secret-file": { type: "string" },
      "against": { type: "string" },
      "strict": { type: "boolean" },
    },
  });
}

function failUsage(message: string): number {
  process.stderr.write(
    `heroncleat: ${message} Remedy: see heroncleat --help.\n`,
  );
  return ExitCode.badUsage;
}

function fail(message: string): number {
  process.stderr.write(`heroncleat: ${message}\n`);
  return ExitCode.failed;
}
