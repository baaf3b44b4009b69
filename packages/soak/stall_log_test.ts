import { StallLog } from "./stall_log.ts";

afterEach(() => jest.restoreAllMocks());

test("only times that overlap a long stall count", () => {
  let now = 0;
  jest.spyOn(performance, "now").mockImplementation(() => now);
  const stalls = new StallLog();
  for (const at of [50, 100, 300, 700, 750]) {
    now = at;
    stalls.check();
  }
  expect(stalls.longest).toBe(400);
  expect(stalls.hadStall(0, 299)).toBe(false);
  expect(stalls.hadStall(100, 300)).toBe(true);
  expect(stalls.hadStall(500, 600)).toBe(true);
  expect(stalls.hadStall(701, 750)).toBe(false);
});

test("a stall counts before its timer has run", () => {
  let now = 0;
  jest.spyOn(performance, "now").mockImplementation(() => now);
  const stalls = new StallLog();
  now = 1000;
  expect(stalls.hadStall(900, 950)).toBe(true);
});
