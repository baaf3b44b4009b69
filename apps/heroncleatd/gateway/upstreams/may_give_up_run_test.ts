import { mayGiveUpRun } from "./may_give_up_run.ts";

const silent = {
  isReplaced: true,
  isReplacementUp: true,
  isReplaceable: true,
  silentChecks: 3,
};

test("a silent run is given up once its replacement accepts connections", () => {
  expect(mayGiveUpRun(silent)).toBe(true);
});

// Guards against sound runs that are cut on hearsay.
test.each([
  ["that no other upstream could take over", { isReplaceable: false }],
  ["that delivers", { silentChecks: 0 }],
  ["that was silent for a moment", { silentChecks: 2 }],
  ["whose replacement accepts no connections", { isReplacementUp: false }],
  ["whose instance is the current one again", { isReplaced: false }],
])("a run %s isn't given up", (_, difference) => {
  expect(mayGiveUpRun({ ...silent, ...difference })).toBe(false);
});
