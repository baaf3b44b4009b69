import { LeasedShare } from "./mod.ts";

const settings = { lease: 3000, window: 10_000, isFresh: true };

function contactUntil(
  share: LeasedShare,
  { from, until, entries }: { from: number; until: number; entries: number },
): void {
  for (let now = from; now <= until; now += 500) {
    share.recordContact(entries, now);
  }
}

describe("a leased share", () => {
  test("of a process that starts with the system is used after one lease", () => {
    const share = new LeasedShare(settings);
    expect(share.value(0)).toBe(0);
    contactUntil(share, { from: 0, until: 3000, entries: 11 });
    expect(share.value(2999)).toBe(0);
    expect(share.value(3000)).toBe(1 / 11);
  });

  test("of a restarted process is used once its predecessor's use counts no more", () => {
    const share = new LeasedShare({ ...settings, isFresh: false });
    contactUntil(share, { from: 0, until: 16_000, entries: 11 });
    expect(share.value(15_999)).toBe(0);
    expect(share.value(16_000)).toBe(1 / 11);
  });

  test("ends with its lease and begins like that of a restarted process", () => {
    const share = new LeasedShare(settings);
    contactUntil(share, { from: 0, until: 5000, entries: 11 });
    expect(share.value(7999)).toBe(1 / 11);
    expect(share.value(8000)).toBe(0);
    contactUntil(share, { from: 9000, until: 25_000, entries: 11 });
    expect(share.value(24_999)).toBe(0);
    expect(share.value(25_000)).toBe(1 / 11);
  });

  test("counts entries that fell silent until they have lost theirs", () => {
    const share = new LeasedShare(settings);
    contactUntil(share, { from: 0, until: 5000, entries: 11 });
    contactUntil(share, { from: 5500, until: 21_000, entries: 6 });
    expect(share.value(21_000)).toBe(1 / 11);
    share.recordContact(6, 21_500);
    expect(share.value(21_500)).toBe(1 / 6);
  });
});
