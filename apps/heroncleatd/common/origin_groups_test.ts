import { originGroups } from "./origin_groups.ts";

const first = {
  stream: "a",
  service: "desk",
  version: "v1",
  age: 20,
  expiresIn: 20_000,
};

test("streams with one origin and like times share them", () => {
  expect(originGroups.create([first, { ...first, stream: "b", age: 40 }]))
    .toEqual([{
      service: "desk",
      version: "v1",
      age: 0,
      expiresIn: 20_000,
      streams: "a b",
    }]);
});

test("each stream keeps its origin, and may be resumed for no less time", () => {
  const origins = [
    first,
    { ...first, stream: "b", service: "bar" },
    { ...first, stream: "c", version: "" },
    { ...first, stream: "d", age: 3700, expiresIn: 16_300 },
  ];
  expect(originGroups.list(originGroups.create(origins))).toEqual([
    { ...first, age: 0 },
    { ...origins[1], age: 0 },
    { ...origins[2], age: 0 },
    { ...origins[3], age: 3000, expiresIn: 17_000 },
  ]);
});
