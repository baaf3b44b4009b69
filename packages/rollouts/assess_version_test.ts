import { assessVersion } from "./assess_version.ts";

function samples(answered: number, failed: number) {
  return { sent: answered, answered, failed, firstByte: {}, total: {} };
}

// Guards against calling a version bad by a coincidence, and against waiting
// for more responses than the test needs.
test.each([
  [3, "undecided"],
  [4, "bad"],
])("%i failures in a row make a version %s", (failed, state) => {
  const verdict = assessVersion({
    look: { destination: samples(failed, failed), others: samples(1000, 0) },
  });
  expect(verdict.state).toBe(state);
});
