import fc from "fast-check";
import { connect } from "node:net";
import { isConnectableAddress, splitAddress } from "./mod.ts";

test.each([
  "10.0.0.9:80",
  "127.0.0.1:1",
  "1.0.0.0:65535",
  "223.255.255.255:443",
])("%s can be connected to", (address) => {
  expect(isConnectableAddress(address)).toBe(true);
});

test.each([
  "",
  ":80",
  "10.0.0.9",
  "10.0.0.9:",
  "10.0.0.9:0",
  "10.0.0.9:65536",
  "10.0.0.9:70000",
  "10.0.0.9:+80",
  "10.0.0.9:8e1",
  "10.0.0.9:80 ",
  "0.0.0.0:80",
  "224.0.0.1:80",
  "255.255.255.255:80",
  "256.0.0.1:80",
  "999.1.1.1:80",
  "10.0.0:80",
  "10.0.0.009:80",
  "localhost:80",
  "[::1]:80",
])("%s can't be connected to", (address) => {
  expect(isConnectableAddress(address)).toBe(false);
});

// Guards against an address that passes and makes `connect` throw.
test("connections to any address that passes can be opened without a throw", () => {
  const octet = fc.integer({ min: 0, max: 300 });
  const port = fc.oneof(
    fc.integer({ min: -1, max: 99_999 }),
    fc.constantFrom(0, 1, 65_535, 65_536),
  );
  fc.assert(fc.property(octet, port, (last, number) => {
    const address = `127.0.0.${last}:${number}`;
    if (isConnectableAddress(address)) {
      const socket = connect(splitAddress(address));
      socket.once("error", () => {});
      socket.destroy();
    }
  }));
});
