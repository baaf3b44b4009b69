import { Backlog } from "./backlog.ts";

test("work that ends early takes only what is left of it", () => {
  const backlog = new Backlog();
  const first = backlog.begin(100, 0);
  const second = backlog.begin(50, 0);
  const third = backlog.begin(200, 0);
  backlog.end(first, 60);
  expect(backlog.remaining(60)).toBe(250);
  backlog.end(second, 110);
  expect(backlog.remaining(110)).toBe(200);
  backlog.end(third, 110);
  expect(backlog.remaining(110)).toBe(0);
});

test("work that ends late leaves the work behind it", () => {
  const backlog = new Backlog();
  const first = backlog.begin(100, 0);
  backlog.add(50, 120);
  backlog.end(first, 130);
  expect(backlog.remaining(130)).toBe(40);
});

test("work that ends before the work ahead of it is removed", () => {
  const backlog = new Backlog();
  const first = backlog.begin(100, 0);
  const second = backlog.begin(50, 0);
  backlog.end(second, 10);
  expect(backlog.remaining(10)).toBe(90);
  backlog.end(first, 20);
  expect(backlog.remaining(20)).toBe(0);
});
