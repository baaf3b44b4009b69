/**
 * Ends with a clear error on a Node.js that is too old. Plain enough for any
 * version to read.
 */
"use strict";
const LEAST_MAJOR = 20;
const major = Number(process.versions.node.split(".")[0]);
if (major < LEAST_MAJOR) {
  console.error(
    "heroncleat needs Node.js " + LEAST_MAJOR + " or newer; this is " +
      process.versions.node + ". Remedy: install a newer one.",
  );
  process.exit(1);
}
