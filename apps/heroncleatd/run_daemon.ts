import { parseArgs } from "node:util";
import {
  createSystemClock,
  type Fault,
  type Milliseconds,
  type ShutdownSignal,
  splitAddress,
  splitList,
} from "@heroncleat/base";
import type { Settings } from "@heroncleat/schema";
import { PeerPool, PeerServer } from "@heroncleat/transport";
import { start as startActors } from "nact";
import { createDisconnectLogger } from "./common/create_disconnect_logger.ts";
import { createFailureHandler } from "./common/create_failure_handler.ts";
import { createLogs } from "./common/create_logs.ts";
import { createMetrics } from "./common/create_metrics.ts";
import { createRefusalLogger } from "./common/create_refusal_logger.ts";
import { createTaskFailureHandler } from "./common/create_task_failure_handler.ts";
import { ExitCode } from "./common/exit_code.ts";
import type { KeyRing } from "./common/key_ring.ts";
import { loadSettings } from "./common/load_settings.ts";
import type { ProcessContext } from "./common/process_context.ts";
import { readKeyRing } from "./common/read_key_ring.ts";
import { readSecret } from "./common/read_secret.ts";
import type { RunningRole } from "./common/running_role.ts";
import { startControl } from "./control/start_control.ts";
import { startEntry } from "./entry/start_entry.ts";

const VERSION = "0.1.0";
const CONNECT_TIMEOUT_MS = 1000;
const ANY_HOST = "0.0.0.0";
const HELP = `heroncleatd, the serving daemon.

Usage: heroncleatd --settings FILE [--check]

  --settings FILE  the INI file; docs/SETTINGS.md lists its keys
  --check          check the file and the files it names, then exit
  --help           print this text
  --version        print the version

SIGTERM, SIGINT and SIGHUP stop the process gracefully; further ones change
nothing, except that a second SIGINT exits at once.
Exit codes: 0 stopped, 1 failed, 2 bad settings, 3 damaged data folder.
`;

/** What the process needs from its settings and the files that they name. */
type CheckedSettings = {
  readonly settings: Settings;
  readonly sharedSecret: string;
  /** Keys of the callers, for the entry role. */
  readonly callers: KeyRing | undefined;
  /** Tokens of the operators, for the control role. */
  readonly operators: KeyRing | undefined;
};

/** Stops the roles gracefully; takes the time at which that was asked for. */
type StopRoles = (signalledAt?: Milliseconds) => Promise<void>;

/**
 * Reads the settings, starts the configured roles and shuts down gracefully at
 * the signal, also where it comes during the start.
 */
export async function runDaemon(shutdown: ShutdownSignal): Promise<void> {
  const options = readOptions();
  const checked = checkSettings(options.settings);
  if (options.check) {
    process.stdout.write(`${options.settings} is fine.\n`);
    process.exit(ExitCode.stopped);
  }
  await run(checked, shutdown);
}

function checkSettings(file: string): CheckedSettings {
  const settings = unwrapOrExit(loadSettings(file));
  const { security } = settings;
  const roles = splitList(settings.daemon.roles);
  return {
    settings,
    sharedSecret: unwrapOrExit(readSecret(security.shared_secret_file)),
    callers: roles.includes("entry")
      ? unwrapOrExit(
        readKeyRing(security.caller_keys_file, "security.caller_keys_file"),
      )
      : undefined,
    operators: roles.includes("control")
      ? unwrapOrExit(
        readKeyRing(
          security.operator_tokens_file,
          "security.operator_tokens_file",
        ),
      )
      : undefined,
  };
}

async function run(
  { settings: checked, sharedSecret, callers, operators }: CheckedSettings,
  shutdown: ShutdownSignal,
): Promise<void> {
  const logs = createLogs(checked.logs, checked.daemon.name);
  const log = logs("daemon");
  const clock = createSystemClock({
    onSuspension: (time) =>
      log.warn(`The VM was suspended for ${Math.round(time)} ms`),
  });
  const metrics = createMetrics(checked.metrics, logs("metrics"));
  const connectionLog = { log: logs("peers"), metrics, clock };
  const pool = new PeerPool({
    secret: sharedSecret,
    connectTimeout: CONNECT_TIMEOUT_MS,
    localHost: localHost(checked),
    onDisconnect: createDisconnectLogger(connectionLog),
    onProblem: (message) => log.warn(message),
  });
  const server = new PeerServer({
    address: checked.daemon.peer_address,
    secret: sharedSecret,
    maxConnections: () => checked.daemon.max_peer_connections,
    maxUnfinishedBytes: checked.daemon.unfinished_message_memory,
    handshakeTimeout: checked.daemon.peer_handshake_timeout,
    onProblem: (message) => log.warn(message),
    onDisconnect: createDisconnectLogger(connectionLog),
    onRefusal: createRefusalLogger(connectionLog),
  });
  const report = (error: unknown) =>
    log.error("Can't go on", { error: describeError(error) });
  let stopRoles: StopRoles | undefined;
  const context: ProcessContext = {
    settings: checked,
    clock,
    metrics,
    pool,
    sharedSecret,
    system: startActors() as never,
    log: logs,
    serve: (methods) => server.serve(methods),
    fail: (error) => {
      report(error);
      process.exit(exitCodeOf(error));
    },
  };
  process.on(
    "uncaughtException",
    createFailureHandler(() => ({
      report: (error) => {
        process.exitCode = ExitCode.failed;
        report(error);
      },
      complete: stopRoles,
      timeLimit: checked.daemon.stop_time_limit,
      exit: () => process.exit(ExitCode.failed),
    })),
  );
  process.on(
    "unhandledRejection",
    createTaskFailureHandler({ log, metrics, clock }),
  );
  try {
    const roles = await createRoles(context, { callers, operators });
    await server.listen();
    const stop = createStop(context, { roles, server });
    // What a replica has accepted is in its journal; callers wait for an entry.
    stopRoles = callers === undefined ? undefined : stop;
    shutdown.received.then(async (signalledAt) => {
      await stop(signalledAt);
      process.exit(process.exitCode ?? ExitCode.stopped);
    }).catch(context.fail);
    if (shutdown.isReceived) {
      return;
    }
    await Promise.all(roles.map((role) => role.start()));
    log.info(`Running version ${VERSION}`, { roles: checked.daemon.roles });
  } catch (error) {
    context.fail(error);
  }
}

async function createRoles(
  context: ProcessContext,
  { callers, operators }: Pick<CheckedSettings, "callers" | "operators">,
): Promise<RunningRole[]> {
  const roles: RunningRole[] = [];
  if (operators !== undefined) {
    roles.push(await startControl(context, operators));
  }
  if (callers !== undefined) {
    roles.push(await startEntry(context, callers));
  }
  return roles;
}

/** Creates the function that stops the roles; further calls of it wait. */
function createStop(
  { pool, metrics, log: logs, settings }: ProcessContext,
  { roles, server }: {
    roles: readonly RunningRole[];
    server: PeerServer;
  },
): StopRoles {
  const log = logs("daemon");
  const stop = async (signalledAt: Milliseconds) => {
    log.info("Shutting down");
    const stopAt = signalledAt + settings.daemon.stop_time_limit;
    // The entry stops first because its handover needs the control group.
    for (const role of roles.toReversed()) {
      await role.stop(Math.max(0, stopAt - performance.now()));
    }
    pool.close();
    await server.close();
    metrics.close();
    log.info("Stopped");
  };
  let stopped: Promise<void> | undefined;
  return (signalledAt = performance.now()) => stopped ??= stop(signalledAt);
}

/**
 * Source host of peer connections, so that peers see the configured address.
 */
function localHost(checked: Settings): string {
  const { host } = splitAddress(checked.daemon.peer_address);
  return host === ANY_HOST ? "" : host;
}

function readOptions(): { settings: string; check: boolean } {
  let values: ReturnType<typeof parse>["values"];
  try {
    values = parse().values;
  } catch (error) {
    return exitWithUsage((error as Error).message);
  }
  if (values.help) {
    process.stdout.write(HELP);
    process.exit(ExitCode.stopped);
  }
  if (values.version) {
    process.stdout.write(`heroncleatd ${VERSION}\n`);
    process.exit(ExitCode.stopped);
  }
  if (values.settings === undefined) {
    return exitWithUsage("--settings is missing. Remedy: name an INI file.");
  }
  return { settings: values.settings, check: values.check ?? false };
}

function parse() {
  return parseArgs({
    options: {
      settings: { type: "string" },
      check: { type: "boolean" },
      help: { type: "boolean" },
      version: { type: "boolean" },
    },
  });
}

function exitWithUsage(message: string): never {
  process.stderr.write(`heroncleatd: ${message}\n\n${HELP}`);
  process.exit(ExitCode.badSettings);
}

function unwrapOrExit<Value>(
  result: { isOk: true; value: Value } | { isOk: false; error: Fault },
): Value {
  if (result.isOk) {
    return result.value;
  }
  process.stderr.write(`heroncleatd: ${result.error.message}\n`);
  process.exit(ExitCode.badSettings);
}

function describeError(error: unknown): string {
  if (error instanceof Error) {
    return String(error.stack);
  }
  const { message } = (error ?? {}) as { message?: string };
  return message ?? String(error);
}

function exitCodeOf(error: unknown): number {
  const { kind } = (error ?? {}) as { kind?: string };
  return kind === "damaged" ? ExitCode.damagedData : ExitCode.failed;
}
