import { readFileSync } from "node:fs";

/** Processor time since the start of a process, and its resident memory. */
type ProcessUsage = { readonly cpuMs: number; readonly megabytes: number };

const TICK_MS = 10;
const KILOBYTES_PER_MEGABYTE = 1024;
/**
 * Indexes of user and system time among the `/proc/PID/stat` fields after the
 * process name.
 */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/** Reads processor time and resident memory of a process from `/proc`. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TIME_FIELD]) +
    Number(fields[SYSTEM_TIME_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const residentKilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return {
    cpuMs: ticks * TICK_MS,
    megabytes: residentKilobytes / KILOBYTES_PER_MEGABYTE,
  };
}
