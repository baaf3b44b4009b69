/**
 * Runs all tests and closes with one line of counts. A test that is listed in
 * KNOWN-RED.txt may fail; it is printed, and it must be taken off the list as
 * soon as it passes.
 */
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const KNOWN_RED = "KNOWN-RED.txt";
const MOST_KNOWN_RED = 3;

/**
 * Suites that start real processes or measure in real time. They run one
 * after the other, so that they don't take each other's processor time.
 */
const REAL_TIME =
  "apps/(heroncleatd/(tests|hub)/|heroncleat/tool_test)|platform/soak/";

const folder = mkdtempSync(join(tmpdir(), "heroncleat-"));
const words = process.argv.slice(2);
const results = words.length > 0 ? [runJest("chosen", words)] : [
  runJest("units", ["--testPathIgnorePatterns", REAL_TIME]),
  runJest("real_time", ["--runInBand", "--testPathPatterns", REAL_TIME]),
];

function runJest(name, options) {
  const report = join(folder, `${name}.json`);
  const jest = spawnSync(process.execPath, [
    "--max-old-space-size=4096",
    "node_modules/jest/bin/jest.js",
    "--json",
    `--outputFile=${report}`,
    ...options,
  ], { stdio: "inherit" });
  if (!existsSync(report)) {
    console.error("The test runner ended without a report.");
    process.exit(jest.status || 1);
  }
  return JSON.parse(readFileSync(report, "utf8"));
}

const known = readKnownRed();
let passed = 0;
let failed = 0;
let skipped = 0;
for (const { numRuntimeErrorTestSuites } of results) {
  failed += numRuntimeErrorTestSuites;
}
for (const suite of results.flatMap(({ testResults }) => testResults)) {
  for (const test of suite.assertionResults) {
    const isKnown = known.has(test.fullName);
    if (test.status === "passed" && !isKnown) {
      passed += 1;
    } else if (test.status === "failed" && isKnown) {
      skipped += 1;
      console.log(`known red: ${test.fullName}`);
    } else {
      failed += 1;
      console.log(`${test.status}: ${test.fullName}`);
    }
  }
}
if (known.size > MOST_KNOWN_RED) {
  failed += 1;
  console.log(`${KNOWN_RED} lists more than ${MOST_KNOWN_RED} tests.`);
}
console.log(`${passed} passed, ${failed} failed, ${skipped} skipped`);
process.exit(failed > 0 || passed === 0 ? 1 : 0);

function readKnownRed() {
  if (!existsSync(KNOWN_RED)) {
    return new Set();
  }
  const lines = readFileSync(KNOWN_RED, "utf8").split("\n");
  const entries = lines.filter((line) => line !== "" && !line.startsWith("#"));
  return new Set(entries.map((line) => line.split(" | ")[0].trim()));
}
