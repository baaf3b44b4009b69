import { createSeededRandom } from "@heroncleat/base";
import { ByteBudget, type ByteHold } from "./byte_budget.ts";

const LIMIT = 1000;
const LARGE_BYTES = 100;

function createBudget() {
  let now = 0;
  const budget = new ByteBudget({
    limit: LIMIT,
    largeBytes: LARGE_BYTES,
    clock: { steady: () => now },
  });
  return { budget, setTime: (time: number) => now = time };
}

test("bodies beyond the limit are refused until others are released", () => {
  const { budget } = createBudget();
  const first = budget.tryHold(500);
  expect(first).toBeDefined();
  expect(budget.tryHold(300)).toBeUndefined();
  first!.release();
  first!.release();
  expect(budget.held).toBe(0);
  expect(budget.tryHold(300)).toBeDefined();
});

// Guards against small requests that are refused since large ones hold all.
test("large bodies leave room for small ones", () => {
  const { budget } = createBudget();
  while (budget.tryHold(150) !== undefined) {
    // Large bodies take what they may.
  }
  expect(budget.held).toBe(750);
  expect(budget.tryHold(100)).toBeDefined();
  expect(budget.tryHold(100)).toBeDefined();
});

test("a body that grows beyond the room isn't resized, and may shrink", () => {
  const { budget } = createBudget();
  const held = budget.tryHold(50)!;
  expect(held.resize(700)).toBe(true);
  expect(held.resize(800)).toBe(false);
  expect(budget.held).toBe(700);
  expect(held.resize(10)).toBe(true);
  expect(budget.held).toBe(10);
});

test("the expected wait is the time until enough is released", () => {
  const { budget, setTime } = createBudget();
  const measured = budget.tryHold(100)!;
  setTime(400);
  measured.release();
  budget.tryHold(300);
  setTime(500);
  budget.tryHold(300);
  setTime(600);
  expect(budget.expectedWait(300)).toBe(200);
  expect(budget.expectedWait(600)).toBe(300);
});

// Guards against callers that all return at once, as nobody knows how long
// bytes are held.
test("before anything was released a wait is expected all the same", () => {
  const { budget } = createBudget();
  budget.tryHold(700);
  expect(budget.expectedWait(300)).toBeGreaterThanOrEqual(500);
});

test("what is held never exceeds the limit and is zero in the end", () => {
  const random = createSeededRandom(84);
  const { budget } = createBudget();
  const holds: ByteHold[] = [];
  for (let step = 0; step < 5000; step += 1) {
    const held = holds[Math.floor(random() * holds.length)];
    if (held !== undefined && random() < 0.4) {
      holds.splice(holds.indexOf(held), 1);
      held.release();
    } else if (held !== undefined && random() < 0.5) {
      held.resize(Math.floor(random() * 400));
    } else {
      const added = budget.tryHold(Math.floor(random() * 400));
      holds.push(...(added === undefined ? [] : [added]));
    }
    expect(budget.held).toBeLessThanOrEqual(LIMIT);
  }
  for (const { release } of holds) {
    release();
  }
  expect(budget.held).toBe(0);
});
