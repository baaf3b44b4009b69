import * as fc from "fast-check";
import { ControlApplication } from "./control_application.ts";
import { isControlCommand } from "./is_control_command.ts";

const claim = {
  kind: "claim",
  workspace: "bistro",
  key: "k",
  digest: "d",
  owner: "entry-1",
  attempt: "a",
  at: 0,
  deadline: 1,
};

describe("isControlCommand", () => {
  test("accepts the commands that the system sends", () => {
    const change = {
      id: "change-000001",
      operator: "kari",
      expectedRevision: 0,
      edits: [],
      at: 0,
    };
    const commands = [
      claim,
      { kind: "refusal", change, message: "malformed" },
      { kind: "expire", at: 5, retention: 1 },
      { kind: "order", number: 1, succeeded: false, message: "no" },
    ];
    expect(commands.filter((command) => !isControlCommand(command)))
      .toEqual([]);
  });

  test("refuses every value that can't be applied", () => {
    const kinds = [
      "change",
      "refusal",
      "order",
      "claim",
      "resolve",
      "expire",
      "custody",
      "other",
    ];
    const values = fc.oneof(
      fc.anything(),
      fc.record({ kind: fc.constantFrom(...kinds) }),
      fc.record({ ...constantArbitraries(claim), key: fc.anything() }),
      fc.dictionary(fc.constantFrom(...Object.keys(claim)), fc.anything()),
    );
    let refusedCount = 0;
    fc.assert(
      fc.property(values, (value) => {
        if (isControlCommand(value)) {
          new ControlApplication().apply(value);
        } else {
          refusedCount += 1;
        }
      }),
      { numRuns: 2000, seed: 21 },
    );
    expect(refusedCount).toBeGreaterThan(1000);
  });
});

function constantArbitraries(record: Record<string, unknown>) {
  return Object.fromEntries(
    Object.entries(record).map(([key, value]) => [key, fc.constant(value)]),
  );
}
