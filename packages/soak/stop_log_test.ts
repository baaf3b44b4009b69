import { StopLog } from "./stop_log.ts";

const HOST = "10.0.0.1";

let now = 0;
beforeEach(() => {
  jest.spyOn(performance, "now").mockImplementation(() => now);
});
afterEach(() => jest.restoreAllMocks());

test("a signal is found until its entry has exited", () => {
  const stops = new StopLog();
  now = 1000;
  const recordExit = stops.begin(HOST);
  expect(stops.isUnderWay).toBe(true);
  expect(stops.findSignal(HOST, { from: 500, to: 900 })).toBeUndefined();
  expect(stops.findSignal(HOST, { from: 500, to: 1000 })).toBe(1000);
  expect(stops.findSignal("10.0.0.2", { from: 500, to: 1000 }))
    .toBeUndefined();
  now = 3000;
  recordExit();
  expect(stops.isUnderWay).toBe(false);
  expect(stops.findSignal(HOST, { from: 3000, to: 4000 })).toBe(1000);
  expect(stops.findSignal(HOST, { from: 3001, to: 4000 })).toBeUndefined();
});
