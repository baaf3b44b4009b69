import { UsageTotals } from "./usage_totals.ts";

describe("usage of several processes", () => {
  test("is summed over all processes, including earlier ones", () => {
    const totals = new UsageTotals();
    totals.merge({ a: { 7: { inn: 3 } }, b: { 7: { inn: 4, bar: 1 } } });
    totals.merge({ "a again": { 7: { inn: 2 } } });
    expect(totals.sum(7)).toEqual({ inn: 9, bar: 1 });
    expect(totals.sum(8)).toEqual({});
  });

  test("keeps the larger count when a smaller one arrives late", () => {
    const totals = new UsageTotals();
    totals.merge({ a: { 7: { inn: 5, bar: 2 } } });
    totals.merge({ a: { 7: { inn: 4, pub: 1 } } });
    expect(totals.sum(7)).toEqual({ inn: 5, bar: 2, pub: 1 });
  });

  test("is forwarded for the newest windows and merged", () => {
    const totals = new UsageTotals();
    totals.merge({ a: { 3: { inn: 1 }, 7: { inn: 2 }, 8: { inn: 3 } } });
    const other = new UsageTotals();
    other.merge(JSON.parse(JSON.stringify(totals.recent())));
    expect(other.sum(7)).toEqual({ inn: 2 });
    expect(other.sum(8)).toEqual({ inn: 3 });
    expect(other.sum(3)).toEqual({});
  });

  // Guards against a change of all objects, and against counts that are no numbers.
  test.each(["__proto__", "constructor", "toString"])(
    "is counted for a process and a workspace named %s",
    (name) => {
      const totals = new UsageTotals();
      const usage = JSON.parse(`{"${name}":{"7":{"${name}":2}}}`);
      totals.merge(usage);
      totals.merge({ other: usage[name] });
      const expected = Object.fromEntries([[name, 4]]);
      expect(JSON.stringify(totals.sum(7))).toBe(JSON.stringify(expected));
      expect(JSON.stringify(totals.recent())).toBe(
        `{"${name}":{"7":{"${name}":2}},"other":{"7":{"${name}":2}}}`,
      );
      expect("7" in {}).toBe(false);
    },
  );

  test("is dropped once it is settled or too old", () => {
    const totals = new UsageTotals();
    totals.merge({ a: { 3: { inn: 1 }, 7: { inn: 2 } } });
    totals.dropBefore(7);
    expect(totals.sum(3)).toEqual({});
    totals.merge({ b: { 60: { inn: 1 } } });
    totals.expire();
    expect(totals.sum(7)).toEqual({});
    expect(totals.sum(60)).toEqual({ inn: 1 });
  });
});
