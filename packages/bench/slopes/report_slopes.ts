import { formatTable } from "../report/format_table.ts";
import { measureSuspects } from "./measure_suspects.ts";
import { measureExchange } from "./measure_exchange.ts";
import { measureLedger } from "./measure_ledger.ts";
import { measureMembership } from "./measure_membership.ts";
import { measureRequests } from "./measure_requests.ts";
import { measureRouting } from "./measure_routing.ts";

/** Numbers of entries and upstreams in the membership benchmark. */
const GROUP_SIZES = [[12, 16], [24, 32], [48, 64], [96, 128]] as const;
const TWELVE_ENTRY_UPSTREAM_COUNTS = [16, 64, 256] as const;
const ROUTED_UPSTREAM_COUNTS = [16, 64, 580, 5800] as const;
const SUSPECT_COUNTS = [0, 10, 100, 1000] as const;
const CLAIM_COUNTS = [10_000, 50_000, 200_000] as const;
const REQUEST_COUNTS = [100, 1000, 4000] as const;

/**
 * Measures costs that grow with deployment size; docs/CAPACITY.md uses the
 * figures.
 */
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
      ...GROUP_SIZES,
      ...TWELVE_ENTRY_UPSTREAM_COUNTS.slice(1).map((count) =>
        [12, count] as const
      ),
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
    ROUTED_UPSTREAM_COUNTS.map((count) => {
      const cost = measureRouting(count);
      return [count, cost.microsecondsPerRequest, cost.kilobytesPerUpstream];
    }),
  ));
  print("\n### Requests under which upstreams ended\n");
  print(formatTable(
    ["suspects", "ns unlike", "µs alike", "ms to judge", "KB in whole"],
    SUSPECT_COUNTS.map((count) => {
      const cost = measureSuspects(count);
      return [
        count,
        cost.sizeMissNanoseconds,
        cost.sizeMatchMicroseconds,
        cost.assessMilliseconds,
        cost.fullReportKilobytes,
      ];
    }),
  ));
  print("\n### Ledger, claimed and resolved\n");
  print(formatTable(
    ["claims", "bytes each", "µs each", "snapshot ms"],
    CLAIM_COUNTS.map((count) => {
      const cost = measureLedger(count);
      return [
        count,
        cost.bytesPerClaim,
        cost.microsecondsPerClaim,
        cost.snapshotMilliseconds,
      ];
    }),
  ));
  print("\n### Requests with a standby, without sockets\n");
  print(formatTable(
    ["at once", "µs a piece", "bytes a request", "copied bytes a piece"],
    REQUEST_COUNTS.map((count) => {
      const cost = measureRequests(count);
      return [
        count,
        cost.microsecondsPerChunk,
        cost.bytesPerRequest,
        cost.copyBytesPerChunk,
      ];
    }),
  ));
}
