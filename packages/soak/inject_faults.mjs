/**
 * Loaded into each process of a soak: gives it a slow or full disk and a wall
 * clock that is off, as the file named by SOAK_FAULTS says. The file is looked
 * at ten times a second, and may be missing.
 */
import fs from "node:fs/promises";
import { readFileSync } from "node:fs";
import { syncBuiltinESMExports } from "node:module";

const LOOK_INTERVAL = 100;
const { SOAK_FAULTS: file = "" } = process.env;
let faults = {};

look();
setInterval(look, LOOK_INTERVAL).unref();

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
  try {
    faults = JSON.parse(readFileSync(file, "utf8"));
  } catch {
    // Without a file, or while it is written, nothing changes.
  }
}
