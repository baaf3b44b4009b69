import { EntryReportReader } from "./entry_report_reader.ts";

const REPORT = {
  entry: {
    name: "edge-b-1",
    boot: "b1",
    address: "10.0.0.2:80",
    zone: "b",
    region: "r",
    isOpen: true,
    unreachable: ["desk"],
  },
  wall: 1,
  feed: "",
  revision: 0,
  documentVersion: -1,
  spent: { inn: 1 },
  readWork: {},
  readingSpeeds: {},
  usage: { "7": { inn: 1 } },
};

const warnings: string[] = [];
const reports = new EntryReportReader({
  log: {
    debug() {},
    info() {},
    warn: (message) => void warnings.push(message),
    error() {},
  },
  metrics: { increment: () => {} },
});

beforeEach(() => void warnings.splice(0));

test("a report is read as it is, also with fields of other releases", () => {
  const report = { ...REPORT, ofLaterRelease: [1], digest: null };
  expect(reports.read(report)).toEqual(report);
  expect(warnings).toEqual([]);
});

// Guards against one entry's statement that no other can apply.
test.each([
  ["no entry", { entry: undefined }],
  ["a name without text", { entry: { ...REPORT.entry, name: { a: 1 } } }],
  ["an endless name", { entry: { ...REPORT.entry, name: "x".repeat(201) } }],
  ["services that are no list", { entry: { ...REPORT.entry, unreachable: 1 } }],
  ["charges that are no numbers", { spent: { inn: "1" } }],
  ["usage without windows", { usage: { "7": 1 } }],
  ["suspects without crashes", { suspects: [{ request: "r" }] }],
])("a report with %s is refused with the reason", (_, fields) => {
  const read = () => reports.read({ ...REPORT, ...fields });
  expect(read).toThrow(/invalid: .+ Remedy/);
  expect(warnings).toHaveLength(1);
});

test.each(["", "b", "b:80", "0.0.0.0:80", "10.0.0.2:70000", "::1"])(
  "an entry with the address '%s' isn't listed to callers",
  (address) => {
    const entry = { ...REPORT.entry, address };
    expect(reports.read({ ...REPORT, entry }).entry.isOpen).toBe(false);
    expect(warnings).toHaveLength(1);
  },
);
