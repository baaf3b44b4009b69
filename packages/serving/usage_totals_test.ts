import { UsageTotals } from "./usage_totals.ts";

describe("usage that processes counted", () => {
  test("is summed over processes, those that ended too", () => {
    const book = new UsageTotals();
    book.merge({ a: { 7: { inn: 3 } }, b: { 7: { inn: 4, bar: 1 } } });
    book.merge({ "a again": { 7: { inn: 2 } } });
    expect(book.sum(7)).toEqual({ inn: 9, bar: 1 });
    expect(book.sum(8)).toEqual({});
  });

  test("stands by the larger count, however late a smaller one comes", () => {
    const book = new UsageTotals();
    book.merge({ a: { 7: { inn: 5, bar: 2 } } });
    book.merge({ a: { 7: { inn: 4, pub: 1 } } });
    expect(book.sum(7)).toEqual({ inn: 5, bar: 2, pub: 1 });
  });

  test("is passed on for the newest windows, and learnt from that", () => {
    const book = new UsageTotals();
    book.merge({ a: { 3: { inn: 1 }, 7: { inn: 2 }, 8: { inn: 3 } } });
    const other = new UsageTotals();
    other.merge(JSON.parse(JSON.stringify(book.recent())));
    expect(other.sum(7)).toEqual({ inn: 2 });
    expect(other.sum(8)).toEqual({ inn: 3 });
    expect(other.sum(3)).toEqual({});
  });

  test("is dropped once it was reported, or is too old for it", () => {
    const book = new UsageTotals();
    book.merge({ a: { 3: { inn: 1 }, 7: { inn: 2 } } });
    book.dropBefore(7);
    expect(book.sum(3)).toEqual({});
    book.merge({ b: { 60: { inn: 1 } } });
    book.expire();
    expect(book.sum(7)).toEqual({});
    expect(book.sum(60)).toEqual({ inn: 1 });
  });
});
