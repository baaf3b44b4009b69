import "./enable_roarr.ts";
import { getLogLevelName, ROARR, Roarr } from "roarr";
import type { Log } from "./log.ts";
import type { LogSettings } from "@heroncleat/schema";

const LEVELS = ["trace", "debug", "info", "warn", "error"];

/**
 * Creates the logs of a process, which write one JSON object per line to
 * stderr.
 */
export function createLogs(
  settings: LogSettings,
  processName: string,
): (part: string) => Log {
  const minLevel = LEVELS.indexOf(settings.level);
  ROARR.write = (line) => {
    const { context } = JSON.parse(line);
    const level = getLogLevelName(context.logLevel);
    if (LEVELS.indexOf(level) >= minLevel) {
      process.stderr.write(`${line}\n`);
    }
  };
  return (part) => {
    const log = Roarr.child({ part, process: processName });
    return {
      debug: (message, context = {}) =>
        log.debug(context, `${part}: ${message}`),
      info: (message, context = {}) => log.info(context, `${part}: ${message}`),
      warn: (message, context = {}) => log.warn(context, `${part}: ${message}`),
      error: (message, context = {}) =>
        log.error(context, `${part}: ${message}`),
    };
  };
}
