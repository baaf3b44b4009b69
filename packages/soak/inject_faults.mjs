/**
 * Preload script that injects faults: a slow or full disk, a shifted wall clock,
 * and a monotonic clock that excludes suspensions. They are described by the file
 * that SOAK_FAULTS names, which is reread periodically.
 */
import fs from "node:fs/promises";
import { readFileSync } from "node:fs";
import { syncBuiltinESMExports } from "node:module";

const REREAD_INTERVAL_MS = 100;
const { SOAK_FAULTS: faultsFile = "" } = process.env;
const readMonotonicClock = performance.now.bind(performance);
let faults = {};
let lastReadAt = readMonotonicClock();

readFaults();
setInterval(readFaults, REREAD_INTERVAL_MS).unref();

const originalHrtime = process.hrtime.bigint;
const suspendedBeforeStart = faults.suspendedFor ?? 0;
performance.now = () => readMonotonicClock() - suspendedSinceStart();
process.hrtime.bigint = () =>
  originalHrtime() - BigInt(Math.round(suspendedSinceStart() * 1e6));

/**
 * Returns the time for which the VM was suspended since the process started.
 * Rereads the faults if the last read is overdue, as after a suspension.
 */
function suspendedSinceStart() {
  if (readMonotonicClock() - lastReadAt > 2 * REREAD_INTERVAL_MS) {
    readFaults();
  }
  return (faults.suspendedFor ?? 0) - suspendedBeforeStart;
}

const readWallClock = Date.now;
Date.now = () => readWallClock() + (faults.clockAhead ?? 0);

const originalOpen = fs.open;
fs.open = async (...args) => {
  const handle = await originalOpen(...args);
  for (const method of ["sync", "datasync"]) {
    const originalSync = handle[method].bind(handle);
    handle[method] = async () => {
      await new Promise((resolve) =>
        setTimeout(resolve, faults.syncDelay ?? 0)
      );
      return await originalSync();
    };
  }
  for (const method of ["appendFile", "writeFile", "write"]) {
    const originalWrite = handle[method].bind(handle);
    handle[method] = async (...writeArgs) => {
      if (faults.isDiskFull) {
        const error = new Error("ENOSPC: no space left on device, write");
        throw Object.assign(error, { code: "ENOSPC" });
      }
      return await originalWrite(...writeArgs);
    };
  }
  return handle;
};
syncBuiltinESMExports();

function readFaults() {
  lastReadAt = readMonotonicClock();
  try {
    faults = JSON.parse(readFileSync(faultsFile, "utf8"));
  } catch {
    // The last faults stay while the file is missing or partly written.
  }
}
