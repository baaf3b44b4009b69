import { ReadTurns } from "./read_turns.ts";

const TURNS = 4;
const READERS = 10;
const INTERVAL_MS = 20;

beforeEach(() => void jest.useFakeTimers());

afterEach(() => void jest.useRealTimers());

// Guards against crowds of refused callers whose bytes fill the memory.
test("readers share the turns of each interval evenly", () => {
  const turns = new ReadTurns(TURNS);
  const reads = new Array<number>(READERS).fill(0);
  const readOn = (at: number) => {
    reads[at]! += 1;
    turns.add(() => readOn(at));
  };
  jest.advanceTimersByTime(1000);
  for (let at = 0; at < READERS; at += 1) {
    turns.add(() => readOn(at));
  }
  jest.advanceTimersByTime(10 * INTERVAL_MS - 1);
  expect(reads).toEqual(new Array(READERS).fill(10 * TURNS / READERS));
});

test("a reader alone has all turns, and none once it has left", () => {
  const turns = new ReadTurns(TURNS);
  let reads = 0;
  let leave = () => {};
  const readOn = () => {
    reads += 1;
    leave = turns.add(readOn);
  };
  jest.advanceTimersByTime(1000);
  turns.add(readOn);
  jest.advanceTimersByTime(INTERVAL_MS - 1);
  expect(reads).toBe(TURNS);
  leave();
  jest.advanceTimersByTime(10 * INTERVAL_MS);
  expect(reads).toBe(TURNS);
  expect(jest.getTimerCount()).toBe(0);
});
