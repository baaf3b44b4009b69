import { formatTable } from "../report/format_table.ts";
import { measureCrashes } from "./crash_slope.ts";
import { measureExchange } from "./exchange_slope.ts";
import { measureLedger } from "./ledger_slope.ts";
import { measureMembership } from "./membership_slope.ts";
import { measureRequests } from "./request_slope.ts";
import { measureRouting } from "./routing_slope.ts";

/** Entries and upstreams that membership is run with. */
const GROUPS = [[12, 16], [24, 32], [48, 64], [96, 128]] as const;
const UPSTREAMS_AT_TWELVE = [16, 64, 256] as const;
const ROUTED_UPSTREAMS = [16, 64, 580, 5800] as const;
const SUSPECTS = [0, 10, 100, 1000] as const;
const CLAIMS = [10_000, 50_000, 200_000] as const;
const REQUESTS = [100, 1000, 4000] as const;

/** Measures what grows, at several sizes; docs/CAPACITY.md builds on it. */
export function reportSlopes(print: (text: string) => void): void {
  print("### Exchange of state, one process of each role\n");
  print(formatTable(
    ["role", "phase", "entries", "upstreams", "cores", "bytes/s", "ms a call"],
    [...measureExchange()].map((cost) => [
      cost.role,
      cost.phase,
      cost.entries,
      cost.upstreams,
      cost.cores,
      cost.bytesPerS,
      cost.callMs,
    ]),
  ));
  print("\n### Membership, each entry\n");
  print(formatTable(
    ["entries", "upstreams", "bytes/s", "messages/s", "% of a core"],
    [
      ...GROUPS,
      ...UPSTREAMS_AT_TWELVE.slice(1).map((count) => [12, count] as const),
    ].map(([entries, upstreams]) => {
      const cost = measureMembership(entries, upstreams);
      return [
        entries,
        upstreams,
        cost.bytesPerSecond,
        cost.messagesPerSecond,
        cost.cpuPercent,
      ];
    }),
  ));
  print("\n### Routing, subsets of 64\n");
  print(formatTable(
    ["upstreams", "µs a request", "KB an upstream"],
    ROUTED_UPSTREAMS.map((count) => {
      const cost = measureRouting(count);
      return [count, cost.microsecondsEach, cost.kilobytesEach];
    }),
  ));
  print("\n### Requests under which upstreams ended\n");
  print(formatTable(
    ["suspects", "ns unlike", "µs alike", "ms to judge", "KB in whole"],
    SUSPECTS.map((count) => {
      const cost = measureCrashes(count);
      return [
        count,
        cost.nanosecondsUnlike,
        cost.microsecondsAlike,
        cost.judgeMilliseconds,
        cost.wholeKilobytes,
      ];
    }),
  ));
  print("\n### Ledger, claimed and resolved\n");
  print(formatTable(
    ["claims", "bytes each", "µs each", "snapshot ms"],
    CLAIMS.map((count) => {
      const cost = measureLedger(count);
      return [
        count,
        cost.bytesEach,
        cost.microsecondsEach,
        cost.snapshotMilliseconds,
      ];
    }),
  ));
  print("\n### Requests with a standby, without sockets\n");
  print(formatTable(
    ["at once", "µs a piece", "bytes a request", "copied bytes a piece"],
    REQUESTS.map((count) => {
      const cost = measureRequests(count);
      return [
        count,
        cost.microsecondsPerPiece,
        cost.bytesEach,
        cost.copyBytesPerPiece,
      ];
    }),
  ));
}
