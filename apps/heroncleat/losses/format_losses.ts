import { formatTable } from "../format_table.ts";
import type { EndedRequest } from "./ended_request.ts";
import { ON_TIME } from "./on_time.ts";

const WINDOW_MS = 2000;

/**
 * Formats two tables: all losses by route and reason, and the losses of each
 * window of time with their most frequent reason.
 */
export function formatLosses(requests: readonly EndedRequest[]): string {
  const lost = requests.filter(({ reason }) => reason !== ON_TIME);
  const byReason = countBy(lost, ({ route, reason }) => `${route}\t${reason}`);
  const totals = formatTable(
    ["route", "lost for", "requests"],
    byReason.map(([key, count]) => [...key.split("\t"), String(count)]),
  );
  return `${requests.length} requests, ${lost.length} lost\n\n${totals}\n\n` +
    formatWindows(requests);
}

function formatWindows(requests: readonly EndedRequest[]): string {
  let start = Infinity;
  for (const { at } of requests) {
    start = Math.min(start, at);
  }
  const windows = new Map<number, EndedRequest[]>();
  for (const request of requests) {
    const window = Math.floor((request.at - start) / WINDOW_MS);
    const requestsInWindow = windows.get(window) ?? [];
    requestsInWindow.push(request);
    windows.set(window, requestsInWindow);
  }
  const rows: string[][] = [];
  for (const [window, ended] of [...windows].sort(([a], [b]) => a - b)) {
    const lost = ended.filter(({ reason }) => reason !== ON_TIME);
    const [mostFrequent] = countBy(lost, ({ reason }) => reason);
    rows.push([
      `${window * WINDOW_MS / 1000} s`,
      String(ended.length),
      String(lost.length),
      mostFrequent === undefined
        ? ""
        : `${mostFrequent[0]} (${mostFrequent[1]})`,
    ]);
  }
  return formatTable(["from", "ended", "lost", "most for"], rows);
}

/** Counts the requests of each key, the most frequent key first. */
function countBy(
  requests: readonly EndedRequest[],
  keyOf: (request: EndedRequest) => string,
): [string, number][] {
  const counts = new Map<string, number>();
  for (const request of requests) {
    const key = keyOf(request);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts].sort(([, left], [, right]) => right - left);
}
