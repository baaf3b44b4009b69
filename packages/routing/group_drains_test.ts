import type { Group } from "@heroncleat/schema";
import { GroupDrains } from "./group_drains.ts";

const DRAIN_TIMEOUT_MS = 2000;

function groups(state: Group["state"]): Record<string, Group> {
  return { old: { name: "old", labels: {}, state, share: 50 } };
}

function createDrains(): GroupDrains {
  return new GroupDrains(DRAIN_TIMEOUT_MS);
}

test("a drain counts from when the former configuration was last confirmed", () => {
  const drains = createDrains();
  drains.update(groups("serving"), undefined);
  drains.update(groups("draining"), 5000);
  expect(drains.endsAt("old")).toBe(5000 + DRAIN_TIMEOUT_MS - 250);
});

test("later configurations don't extend a drain", () => {
  const drains = createDrains();
  drains.update(groups("serving"), undefined);
  drains.update(groups("draining"), 5000);
  drains.update(groups("draining"), 9000);
  expect(drains.endsAt("old")).toBe(5000 + DRAIN_TIMEOUT_MS - 250);
});

test.each(
  [
    ["draining", undefined, "the first configuration"],
    ["serving", undefined, "a former configuration that wasn't confirmed"],
  ] as const,
)(
  "a group whose drain has an unknown start is sent nothing: %s, %s",
  (former, confirmedAt, _) => {
    const drains = createDrains();
    drains.update(groups(former), undefined);
    drains.update(groups("draining"), confirmedAt);
    expect(drains.endsAt("old")).toBe(-Infinity);
  },
);

test("a group that is added while it drains is sent nothing", () => {
  const drains = createDrains();
  drains.update({}, undefined);
  drains.update(groups("draining"), 5000);
  expect(drains.endsAt("old")).toBe(-Infinity);
});

test("a group that was filled and drains again has a new start", () => {
  const drains = createDrains();
  drains.update(groups("serving"), undefined);
  drains.update(groups("draining"), 1000);
  drains.update(groups("filling"), 2000);
  drains.update(groups("draining"), 9000);
  expect(drains.endsAt("old")).toBe(9000 + DRAIN_TIMEOUT_MS - 250);
});
