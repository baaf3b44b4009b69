import { readFileSync } from "node:fs";

/** What a process has used so far. */
type ProcessUsage = { readonly cpuMs: number; readonly megabytes: number };

const TICK_MS = 10;
const KILOBYTES = 1024;
/** Places of user and system time behind the process's name. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** Reads processor time and resident memory of a process. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const resident = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return { cpuMs: ticks * TICK_MS, megabytes: resident / KILOBYTES };
}
