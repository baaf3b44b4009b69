import { originHolders } from "./origin_holders.ts";
import { OriginSearch } from "./origin_search.ts";

const entries = Array.from({ length: 12 }, (_, index) => ({
  name: `entry-${index}`,
  address: `entry-${index}:1`,
  zone: `zone-${index % 4}`,
  region: "r",
}));
const found = {
  origin: { service: "desk", version: "v1" },
  age: 5,
  isOnly: false,
};
const namesOf = (asked: readonly { name: string }[]) =>
  asked.map(({ name }) => name);

test("holders are in all zones, the first in different ones, and stay when another entry goes", () => {
  const ranked = originHolders.rank("s", entries);
  const holders = ranked.slice(0, originHolders.count);
  const zonesOf = (some: typeof holders) =>
    new Set(some.map(({ zone }) => zone)).size;
  expect(zonesOf(holders.slice(0, originHolders.firstCount))).toBe(3);
  expect(zonesOf(holders)).toBe(4);
  const gone = ranked.at(-1)!;
  const others = entries.filter((entry) => entry !== gone);
  expect(originHolders.rank("s", others).slice(0, originHolders.count))
    .toEqual(holders);
});

test("holders are asked first, then the others", () => {
  const search = new OriginSearch("s", { entries, now: 0 });
  const holders = namesOf(search.listDue(0));
  expect(holders).toHaveLength(3);
  for (const name of holders) {
    expect(search.result(0)).toBeUndefined();
    search.recordAnswer(name, undefined);
  }
  const others = namesOf(search.listDue(1));
  expect(others).toHaveLength(9);
  search.recordAnswer(others[0]!, found);
  expect(search.result(2)).toEqual({
    kind: "found",
    by: others[0],
    source: "entry",
    ...found,
  });
});

test("others are asked too when a holder stays silent, which is asked again", () => {
  const search = new OriginSearch("s", { entries, now: 0 });
  const [first] = search.listDue(0);
  search.recordAnswer(first!.name, undefined);
  expect(search.listDue(24)).toHaveLength(0);
  expect(search.listDue(25)).toHaveLength(2);
  expect(search.listDue(50)).toHaveLength(11);
});

test("a stream that nobody knows is unknown as soon as all have answered", () => {
  const search = new OriginSearch("s", { entries, now: 0 });
  for (const now of [0, 1]) {
    for (const name of namesOf(search.listDue(now))) {
      search.recordAnswer(name, undefined);
    }
  }
  expect(search.result(1))
    .toEqual({ kind: "unknown", unanswered: 0, asked: 12 });
});

test("a search ends although entries stay silent, and says so", () => {
  const search = new OriginSearch("s", { entries, now: 0 });
  search.listDue(0);
  expect(search.result(199)).toBeUndefined();
  expect(search.result(200))
    .toEqual({ kind: "unknown", unanswered: 12, asked: 3 });
});

test("an entry alone knows at once that nobody else knows", () => {
  const search = new OriginSearch("s", { entries: [], now: 0 });
  expect(search.result(0))
    .toEqual({ kind: "unknown", unanswered: 0, asked: 0 });
});
