import { OriginRepeats } from "./origin_repeats.ts";

test("each stream is due once, after the delay", () => {
  const repeats = new OriginRepeats();
  repeats.add("a", 0);
  repeats.add("b", 100);
  expect(repeats.takeDue(OriginRepeats.delay - 1)).toEqual([]);
  expect(repeats.takeDue(OriginRepeats.delay)).toEqual(["a"]);
  expect(repeats.takeDue(OriginRepeats.delay + 100)).toEqual(["b"]);
  expect(repeats.size).toBe(0);
});

test("a stream that is shared again is due after its last share", () => {
  const repeats = new OriginRepeats();
  repeats.add("a", 0);
  repeats.add("b", 10);
  repeats.add("a", 20);
  expect(repeats.takeDue(OriginRepeats.delay + 10)).toEqual(["b"]);
  expect(repeats.takeDue(OriginRepeats.delay + 20)).toEqual(["a"]);
});
