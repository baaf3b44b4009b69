import { createServer, type RequestListener } from "node:http";
import { type AddressInfo, connect } from "node:net";
import type { ConnectionOpener } from "../../common/connection_opener.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { UpstreamAgent } from "../upstreams/upstream_agent.ts";
import { Relay } from "./relay.ts";

/**
 * Starts the only other entry, and a relay that passes requests on to it.
 *
 * @param onClose Collects what must be called at the end of the test.
 * @param options.open Opens connections to the entry.
 */
export async function startTestRelay(
  respond: RequestListener,
  onClose: (close: () => void) => void,
  { open = connect }: { open?: ConnectionOpener } = {},
): Promise<Relay> {
  const server = createServer(respond);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const agent = new UpstreamAgent(() => 2, open);
  onClose(() => server.close());
  onClose(() => agent.destroy());
  return new Relay({
    name: "here",
    zone: "a",
    region: "r",
    port: (server.address() as AddressInfo).port,
    secret: "s",
    listEntries: () => [
      { name: "other", zone: "b", region: "r", address: "127.0.0.1:1" },
    ],
    agent,
    names,
    clock: { steady: () => performance.now() },
    metrics: { increment() {}, gauge() {}, timing() {}, close() {} },
    random: () => 0,
  });
}
