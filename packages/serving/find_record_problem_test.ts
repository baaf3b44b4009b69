import { findRecordProblem } from "./mod.ts";
import { testRecord } from "./test_record.ts";

const record = testRecord({ id: "u1@5", born: 5 });
const services = new Set(["writers", "desk"]);

test("updates of an instance that moved or changed its service are rejected", () => {
  expect(findRecordProblem(record, { services, record })).toBeUndefined();
  for (
    const part of [{ service: "desk" }, { address: "10.0.0.2:80" }, {
      zone: "b",
    }]
  ) {
    const problem = findRecordProblem({ ...record, ...part }, {
      services,
      record,
    });
    expect(problem?.kind).toBe("changed_identity");
    expect(problem?.message).toContain("Remedy");
  }
});

test("a service must be configured, once there is a configuration", () => {
  const update = { ...record, service: "no-such" };
  const none = { services: undefined, record: undefined };
  expect(findRecordProblem(update, none)).toBeUndefined();
  expect(findRecordProblem(update, { services, record: undefined })?.kind)
    .toBe("unknown_service");
});

test("an instance of which only the departure is recorded may register", () => {
  const gone = { ...record, service: "", address: "", zone: "" };
  expect(findRecordProblem(record, { services, record: gone })).toBeUndefined();
});
