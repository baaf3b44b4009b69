import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createTestContext } from "../create_test_context.ts";
import { RetryLimiter } from "../limits/retry_limiter.ts";
import { ReachabilityWatcher } from "./reachability_watcher.ts";
import { startTestEntry } from "../start_test_entry.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { TestUpstream } from "../test_upstream.ts";
import { waitUntil } from "../../hub/wait_until.ts";

/** Longer than a request must have waited to be given up. */
const WAIT_MS = 350;
/** Time in which runs are given up as the cut begins. */
const NOTICE_TIME_MS = 50;

const closers: (() => void)[] = [];
const onClose = (close: () => void) => closers.push(close);
afterEach(() => closers.splice(0).forEach((close) => close()));

/**
 * Sends two requests to an upstream, cuts the entry off while both run, and
 * lets the upstream respond; returns the statuses.
 *
 * @param retries Retries that are left.
 */
async function playCut(retries: number): Promise<number[]> {
  const respond: (() => void)[] = [];
  const upstream = await TestUpstream.start(({ message }, socket) => {
    const attempt = String(message.headers[names.attempt]);
    respond.push(() =>
      socket.write(
        `HTTP/1.1 200 OK\r\n${names.digest}: d\r\n${names.attempt}: ` +
          `${attempt}\r\nContent-Length: 2\r\n\r\nok`,
      )
    );
  });
  onClose(() => upstream.close());
  const created = createTestContext([upstream], onClose);
  const context = {
    ...created,
    reachability: new ReachabilityWatcher({
      ...created,
      listUpstreams: () => created.directory.list(),
      // A busy machine waits until the entry probes by itself.
      probe: () => Promise.resolve(false),
      onChange: () => {},
      closeIdle: () => {},
      random: Math.random,
    }),
  };
  const entry = await startTestEntry({
    upstreams: [],
    context: {
      ...context,
      retries: new RetryLimiter({
        settings: () => ({
          retryRatio: 0,
          retryWindow: 10_000,
          retrySlack: retries,
        }),
        clock: context.clock,
        log: context.log,
        metrics: context.metrics,
        share: { value: () => retries, entries: 1 },
      }),
    },
  }, onClose);
  const sent = ["a1", "a2"].map((attempt) => send(entry, attempt));
  await waitUntil(() => Promise.resolve(respond.length === 2));
  const startedAt = context.clock.steady();
  await new Promise((resolve) => setTimeout(resolve, WAIT_MS));
  context.reachability.recordFailure({ id: "u0", service: "desk" }, {
    startedAt,
    isSilent: true,
  });
  await new Promise((resolve) => setTimeout(resolve, NOTICE_TIME_MS));
  respond.forEach((write) => write());
  const statuses = await Promise.all(sent);
  context.reachability.stop();
  return statuses.sort();
}

async function send(entry: Server, attempt: string): Promise<number> {
  const { port } = entry.address() as AddressInfo;
  const response = await fetch(`http://127.0.0.1:${port}/`, {
    headers: { [names.attempt]: attempt },
  });
  await response.text();
  return response.status;
}

// Guards against ending runs that would be served, as nothing can repeat them.
test.each([
  ["none is", 0, 0],
  ["one is", 1, 1],
  ["both are", 2, 2],
])(
  "of two runs at a cut, %s given up if as many retries are left",
  async (_name, retries, givenUp) => {
    const statuses = await playCut(retries);
    expect(statuses.filter((status) => status !== 200)).toHaveLength(givenUp);
  },
);
