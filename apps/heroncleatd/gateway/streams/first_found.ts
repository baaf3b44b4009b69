import type { OriginSearchResult } from "@heroncleat/serving";

/**
 * Resolves with the first search that finds the origin of a stream; unknown
 * once all have ended without it.
 */
export function firstFound(
  searches: readonly Promise<OriginSearchResult>[],
): Promise<OriginSearchResult> {
  return new Promise((resolve, reject) => {
    let unanswered = 0;
    let asked = 0;
    let left = searches.length;
    for (const search of searches) {
      search.then((result) => {
        left -= 1;
        if (result.kind === "found") {
          resolve(result);
          return;
        }
        unanswered += result.unanswered;
        asked += result.asked ?? 0;
        if (left === 0) {
          resolve({ kind: "unknown", unanswered, asked });
        }
      }, reject);
    }
  });
}
