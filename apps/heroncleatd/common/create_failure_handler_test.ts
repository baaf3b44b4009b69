import { createFailureHandler } from "./create_failure_handler.ts";

const TIME_LIMIT_MS = 2000;
const MAX_FAILURES = 20;

beforeEach(() => {
  jest.useFakeTimers();
});
afterEach(() => {
  jest.useRealTimers();
});

function createHandler(
  changes: { readonly complete?: (() => Promise<void>) | undefined } = {},
) {
  const reports: unknown[] = [];
  const exit = jest.fn();
  const handle = createFailureHandler(() => ({
    report: (error) => reports.push(error),
    complete: () => new Promise(() => {}),
    timeLimit: TIME_LIMIT_MS,
    exit,
    ...changes,
  }));
  return { handle, reports, exit };
}

describe("an uncaught exception", () => {
  test("ends the process once what it has begun is complete", async () => {
    let finish = () => {};
    const { handle, exit } = createHandler({
      complete: () => new Promise((resolve) => finish = resolve),
    });
    handle(new Error("first"));
    handle(new Error("second"));
    expect(exit).not.toHaveBeenCalled();
    finish();
    await jest.advanceTimersByTimeAsync(0);
    expect(exit).toHaveBeenCalledTimes(1);
  });

  test("ends the process at once if it has begun nothing", () => {
    const { handle, exit, reports } = createHandler({ complete: undefined });
    handle(new Error("first"));
    expect(reports).toHaveLength(1);
    expect(exit).toHaveBeenCalledTimes(1);
  });

  test("ends the process in time if that is never complete", () => {
    const { handle, exit } = createHandler();
    handle(new Error("first"));
    jest.advanceTimersByTime(TIME_LIMIT_MS);
    expect(exit).toHaveBeenCalledTimes(1);
  });

  test("ends the process if completing fails, and reports that", async () => {
    const { handle, exit, reports } = createHandler({
      complete: () => Promise.reject(new Error("second")),
    });
    handle(new Error("first"));
    await jest.advanceTimersByTimeAsync(0);
    expect(reports.map(String)).toEqual(["Error: first", "Error: second"]);
    expect(exit).toHaveBeenCalledTimes(1);
  });

  test("ends the process at once if it comes again and again", () => {
    const { handle, exit } = createHandler();
    for (let failure = 1; failure < MAX_FAILURES; failure += 1) {
      handle(new Error("again"));
    }
    expect(exit).not.toHaveBeenCalled();
    handle(new Error("again"));
    expect(exit).toHaveBeenCalledTimes(1);
  });
});
