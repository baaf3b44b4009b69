/**
 * Fails if a header, path or field of the platform's API occurs in `packages/`
 * or `apps/`. Only `platform/` may use these names.
 */
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";

const PLATFORM_NAMES = [
  "attempt-id",
  "backend-signature",
  "expected-instance",
  "deadline-ms",
  "not-executed",
  "lease-owner",
  "fencing-token",
  "request-priority",
  "token-usage",
  "prefix-hash",
  "kv-(fetch|from|replica|move|events|list)",
  "/heroncleat/(lookup|readyz|instances|report|config)",
  "routeType",
  "weightedServices",
  "apiKeys",
  "desiredCount",
  "spotEnabled",
  "coldRemainingMs",
  "heartbeatAddress",
];
const pattern = new RegExp(PLATFORM_NAMES.join("|"), "i");

const files = execFileSync("git", ["ls-files", "packages", "apps"], {
  encoding: "utf8",
}).split("\n").filter((name) => name.endsWith(".ts"));
let matchCount = 0;
for (const file of files) {
  readFileSync(file, "utf8").split("\n").forEach((line, index) => {
    if (pattern.test(line)) {
      matchCount += 1;
      console.log(`${file}:${index + 1}: ${line.trim()}`);
    }
  });
}
if (matchCount > 0) {
  console.log(
    `${matchCount} lines use platform names. Remedy: translate in platform/.`,
  );
  process.exit(1);
}
