/**
 * Exits with an error if Node.js is too old. Uses only syntax that every version
 * of Node.js can parse.
 */
"use strict";
const MIN_MAJOR_VERSION = 20;
const majorVersion = Number(process.versions.node.split(".")[0]);
if (majorVersion < MIN_MAJOR_VERSION) {
  console.error(
    "heroncleat requires Node.js " + MIN_MAJOR_VERSION + " or newer; found " +
      process.versions.node + ". Remedy: install a newer version.",
  );
  process.exit(1);
}
