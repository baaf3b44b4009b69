import type { KnownUpstream } from "./known_upstream.ts";
import { PreferredUpstreams } from "./preferred_upstreams.ts";

const upstreams = ["a", "b", "c", "d"].map((id) => ({
  record: { id, name: id },
})) as unknown as KnownUpstream[];

function costs(maxCost: number): number[] {
  const preferred = new PreferredUpstreams("part", { upstreams, maxCost });
  return upstreams.map(({ record }) => preferred.placementCost(record.id))
    .sort((left, right) => left - right);
}

// Guards against callers that wait for a cached prefix for longer than
// prefilling it takes.
test("a cached prefix is worth at most the time that it saves", () => {
  expect(costs(9)).toEqual([0, 9, 9, 9]);
  expect(costs(30)).toEqual([0, 15, 30, 30]);
});

// Guards against long prefixes that are cached everywhere, where they evict
// others.
test("a long prefix keeps its preferred upstreams", () => {
  expect(costs(500)).toEqual([0, 15, 40, 40]);
});
