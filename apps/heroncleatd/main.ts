#!/usr/bin/env node
/**
 * The daemon: remembers a signal to shut down while the rest of it is loaded.
 *
 * @module
 */
import { ShutdownSignal } from "@heroncleat/base";
import { ExitCode } from "./common/exit_code.ts";

const shutdown = new ShutdownSignal(process, {
  signals: ["SIGTERM", "SIGINT", "SIGHUP"],
  now: () => performance.now(),
});
// An operator at a terminal interrupts a second time to end it at once.
process.once("SIGINT", () => {
  process.once("SIGINT", () => process.exit(ExitCode.failed));
});
const { runDaemon } = await import("./run_daemon.ts");
await runDaemon(shutdown);
