import { byteLimits } from "./byte_limits.ts";
import { ResponseMeter } from "./response_meter.ts";

// Guards against heads that arrive without end in front of a response.
test("heads are limited in number and in all their bytes", () => {
  const meter = new ResponseMeter();
  for (let head = 1; head <= byteLimits.informationalHeads; head += 1) {
    expect(meter.recordInformationalHead(100 * head)).toBeUndefined();
  }
  expect(meter.recordInformationalHead(5000)).toEqual({
    shape: "informational_heads",
    bytes: 5000,
    limit: byteLimits.informationalHeads,
  });
  const other = new ResponseMeter();
  expect(other.check(byteLimits.heads)).toBeUndefined();
  expect(other.check(byteLimits.heads + 1)).toMatchObject({ shape: "head" });
  other.recordInformationalHead(0);
  expect(other.check(byteLimits.heads + 1)).toMatchObject({
    shape: "informational_heads",
  });
});

// Guards against chunk extensions, of which Node limits each only.
test("bytes that carry no body are limited", () => {
  const meter = new ResponseMeter();
  meter.recordHead();
  expect(meter.check(byteLimits.framing)).toBeUndefined();
  expect(meter.check(byteLimits.framing + 1)).toEqual({
    shape: "framing",
    bytes: byteLimits.framing + 1,
    limit: byteLimits.framing,
  });
});

// Guards against a limit that cuts streams of many short events.
test("a body may have as much framing as short chunks need", () => {
  const meter = new ResponseMeter();
  meter.recordHead();
  let received = 0;
  let isExceeded = false;
  for (let chunk = 0; chunk < 100_000; chunk += 1) {
    meter.recordBody(4);
    received += 4 + "4\r\n\r\n".length;
    isExceeded ||= meter.check(received) !== undefined;
  }
  expect(isExceeded).toBe(false);
});
