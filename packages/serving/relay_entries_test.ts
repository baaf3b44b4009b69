import type { KnownEntry } from "./known_entry.ts";
import { RelayEntries } from "./relay_entries.ts";

function entry(name: string, zone: string, region = "r"): KnownEntry {
  return { name, zone, region, address: `${name}:1` };
}

const near = entry("near", "a");
const other = entry("other", "a");
const far = entry("far", "b");
const distant = entry("distant", "c", "s");
const options = {
  service: "desk",
  zone: "a",
  region: "r",
  excluded: new Set<string>(),
  refusingZones: new Set<string>(),
  now: 0,
  random: () => 0.5,
};

test("a near entry is chosen, and a farther one once the near ones are busy", () => {
  const entries = new RelayEntries();
  const counts = new Map<string, number>();
  for (let request = 0; request < 30; request += 1) {
    const chosen = entries.choose([distant, far, near, other], options)!;
    entries.begin(chosen.name);
    counts.set(chosen.name, (counts.get(chosen.name) ?? 0) + 1);
  }
  expect(counts.get("near")).toBe(counts.get("other"));
  expect(counts.get("far")).toBeGreaterThan(5);
  expect(counts.get("distant")).toBeUndefined();
});

test("a request that has ended no longer counts, however often it is ended", () => {
  const entries = new RelayEntries();
  const end = entries.begin("near");
  entries.begin("near");
  end();
  end();
  entries.begin("other");
  const ties = [0.9, 0.1];
  const random = () => ties.shift()!;
  expect(entries.choose([near, other], { ...options, random })).toBe(other);
});

test("entries that reach no upstream either aren't asked", () => {
  const entries = new RelayEntries();
  const cutOff = { ...near, unreachable: ["desk"] };
  expect(entries.choose([cutOff, far], options)).toBe(far);
  expect(entries.choose([cutOff], options)).toBeUndefined();
  expect(entries.choose([cutOff], { ...options, service: "mail" }))
    .toBe(cutOff);
  entries.recordUnable("near", "desk", 0);
  expect(entries.choose([near], options)).toBeUndefined();
  expect(entries.choose([near], { ...options, service: "mail" })).toBe(near);
  expect(entries.choose([near], { ...options, now: 1500 })).toBe(near);
});

test("after a refusal an entry of another zone is asked", () => {
  const entries = new RelayEntries();
  const excluded = new Set(["near"]);
  expect(entries.choose([near, other, far], { ...options, excluded }))
    .toBe(other);
  const refusingZones = new Set(["a"]);
  const afterRefusal = { ...options, excluded, refusingZones };
  expect(entries.choose([near, other, far], afterRefusal)).toBe(far);
  expect(entries.choose([near, other], afterRefusal)).toBe(other);
});

test("an entry that doubts its links is asked after all others, and again soon", () => {
  const entries = new RelayEntries();
  entries.recordDoubt("near", "desk", 0);
  expect(entries.choose([near, distant], options)).toBe(distant);
  expect(entries.choose([near], options)).toBe(near);
  expect(entries.choose([near, distant], { ...options, service: "mail" }))
    .toBe(near);
  expect(entries.choose([near, distant], { ...options, now: 600 })).toBe(near);
});

test("while others refuse, an entry that has served a request is asked first", () => {
  const entries = new RelayEntries();
  entries.recordServed("far", "desk", 0);
  expect(entries.choose([near, far], options)).toBe(near);
  entries.recordDoubt("other", "desk", 0);
  expect(entries.choose([near, far, other], options)).toBe(far);
  expect(entries.choose([near, far, other], { ...options, now: 1500 }))
    .toBe(near);
});

test("requests spread over all entries once the one that served them is busy", () => {
  const entries = new RelayEntries();
  entries.recordServed("far", "desk", 0);
  entries.recordDoubt("other", "desk", 0);
  const counts = new Map<string, number>();
  for (let request = 0; request < 60; request += 1) {
    const chosen = entries.choose([near, far, other], options)!;
    entries.begin(chosen.name);
    counts.set(chosen.name, (counts.get(chosen.name) ?? 0) + 1);
  }
  expect(counts.get("near")).toBeGreaterThan(15);
  expect(counts.get("far")).toBeGreaterThan(15);
  expect(counts.get("other")).toBeUndefined();
});
