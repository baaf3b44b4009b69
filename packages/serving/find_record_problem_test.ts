import { findRecordProblem, type UpstreamRecord } from "./mod.ts";

const record: UpstreamRecord = {
  id: "u1@5",
  name: "u1",
  born: 5,
  service: "writers",
  address: "10.0.0.1:80",
  zone: "a",
  slots: 4,
  sequence: 1,
  state: "ready",
  isSpot: false,
  leavesIn: undefined,
};
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
