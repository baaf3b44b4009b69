/**
 * Only `platform/` may know the platform's names: fails where a header, path
 * or field of the platform stands in the product's sources.
 */
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";

const NAMES = [
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
const pattern = new RegExp(NAMES.join("|"), "i");

const files = execFileSync("git", ["ls-files", "packages", "apps"], {
  encoding: "utf8",
}).split("\n").filter((name) => name.endsWith(".ts"));
let found = 0;
for (const file of files) {
  readFileSync(file, "utf8").split("\n").forEach((line, at) => {
    if (pattern.test(line)) {
      found += 1;
      console.log(`${file}:${at + 1}: ${line.trim()}`);
    }
  });
}
if (found > 0) {
  console.log(
    `${found} lines name the platform. Remedy: translate in platform/.`,
  );
  process.exit(1);
}
