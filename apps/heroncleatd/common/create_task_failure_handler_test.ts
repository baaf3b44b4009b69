import { createTaskFailureHandler } from "./create_task_failure_handler.ts";

function createHandler() {
  const lines: Record<string, string | number>[] = [];
  let counted = 0;
  const handle = createTaskFailureHandler({
    log: {
      debug() {},
      info() {},
      warn() {},
      error: (_message, context = {}) => void lines.push(context),
    },
    metrics: { increment: () => void counted++ },
    clock: { steady: () => 0 },
  });
  return { handle, lines, count: () => counted };
}

// Guards against a process that ends as nobody handles the failure of a probe.
test("a rejection that nobody handles is logged and counted", () => {
  const { handle, lines, count } = createHandler();
  handle(Object.assign(new RangeError("a port of 70000"), { code: "ERR_X" }));
  handle(undefined);
  expect(lines[0]).toMatchObject({ code: "ERR_X", reason: "a port of 70000" });
  expect(lines[1]).toMatchObject({ code: "", reason: "undefined" });
  expect(count()).toBe(2);
});

// Guards against lines without bound where a task fails at short intervals.
test("failures in a row are all counted, and some are logged", () => {
  const { handle, lines, count } = createHandler();
  for (let index = 0; index < 1000; index += 1) {
    handle(new Error("again"));
  }
  expect(count()).toBe(1000);
  expect(lines.length).toBeLessThan(50);
});
