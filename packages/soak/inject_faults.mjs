/**
 * Loaded into each process of a soak: gives it a slow or full disk, a wall
 * clock that is off, and a steady clock that doesn't count the time for which
 * its VM was suspended, as the file named by SOAK_FAULTS says. The file is
 * looked at ten times a second, and may be missing. Timers that Node keeps
 * itself count that time, as those of a process that was stopped.
 */
import fs from "node:fs/promises";
import { readFileSync } from "node:fs";
import { syncBuiltinESMExports } from "node:module";

const LOOK_INTERVAL = 100;
const { SOAK_FAULTS: file = "" } = process.env;
const readSteady = performance.now.bind(performance);
let faults = {};
let lookedAt = readSteady();

look();
setInterval(look, LOOK_INTERVAL).unref();

const readTicks = process.hrtime.bigint;
const suspendedBefore = faults.suspendedFor ?? 0;
performance.now = () => readSteady() - suspendedFor();
process.hrtime.bigint = () =>
  readTicks() - BigInt(Math.round(suspendedFor() * 1e6));

/** Looks at once where the process has just stood still. */
function suspendedFor() {
  if (readSteady() - lookedAt > 2 * LOOK_INTERVAL) {
    look();
  }
  return (faults.suspendedFor ?? 0) - suspendedBefore;
}

const readWall = Date.now;
Date.now = () => readWall() + (faults.clockAhead ?? 0);

const openPlainly = fs.open;
fs.open = async (...words) => {
  const handle = await openPlainly(...words);
  for (const name of ["sync", "datasync"]) {
    const syncPlainly = handle[name].bind(handle);
    handle[name] = async () => {
      await new Promise((resolve) =>
        setTimeout(resolve, faults.syncDelay ?? 0)
      );
      return await syncPlainly();
    };
  }
  for (const name of ["appendFile", "writeFile", "write"]) {
    const writePlainly = handle[name].bind(handle);
    handle[name] = async (...content) => {
      if (faults.isDiskFull) {
        const error = new Error("ENOSPC: no space left on device, write");
        throw Object.assign(error, { code: "ENOSPC" });
      }
      return await writePlainly(...content);
    };
  }
  return handle;
};
syncBuiltinESMExports();

function look() {
  lookedAt = readSteady();
  try {
    faults = JSON.parse(readFileSync(file, "utf8"));
  } catch {
    // Without a file, or while it is written, nothing changes.
  }
}
