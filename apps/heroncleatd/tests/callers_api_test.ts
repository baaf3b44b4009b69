import { connect } from "node:net";
import { splitAddress } from "@heroncleat/base";
import { streamChatCompletion } from "@heroncleat/local_deployment";
import { expectedCompletion } from "@heroncleat/stand_ins";
import * as fc from "fast-check";
import { request } from "undici";
import { LiveDeployment } from "./live_deployment.ts";

const live = new LiveDeployment({
  firstPort: 21_000,
  controls: 3,
  entries: 3,
  engines: 2,
  services: 1,
  workspaces: ["bistro", "inn"],
  entrySettings: { header_timeout: 1500, max_body_bytes: 65_536 },
  engine: { decodeInterval: 3 },
});

const createChatBody = (content: string, max_tokens = 12) => ({
  model: "assistant",
  max_tokens,
  messages: [{ role: "user", content }],
});

beforeAll(() => live.start());
afterAll(() => live.stop());

/**
 * Sends raw bytes and returns everything received until the connection closes.
 */
function sendRaw(bytes: string, options: { end?: boolean } = {}) {
  const { host, port } = splitAddress(live.callerAddresses[0]!);
  return new Promise<string>((resolve) => {
    const socket = connect({ host, port });
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    socket.on("error", () => {});
    socket.on("close", () => resolve(received));
    socket.write(bytes);
    if (options.end) {
      socket.end();
    }
  });
}

describe("the callers' API", () => {
  test("lists the entries with a lifetime, the requested zone first", async () => {
    const reply = await live.call(0, "/v1/entries?zone=zone-b");
    const { entries, lifetime } = JSON.parse(reply.body);
    expect(entries[0].zone).toBe("zone-b");
    expect(entries).toHaveLength(3);
    expect(lifetime).toBe(10_000);
    expect(reply.headers["cache-control"]).toBe("max-age=10");
  });

  test("returns the same response streamed and unstreamed", async () => {
    const body = createChatBody("A table for two by the window, please.");
    const expected = expectedCompletion(body, "demo");
    const streamed = await streamChatCompletion({
      entries: live.callerAddresses,
      key: live.key,
      body,
    });
    expect(streamed).toMatchObject({ status: 200, text: expected });
    const unstreamed = await live.call(1, "/v1/chat/completions", {
      method: "POST",
      body: JSON.stringify(body),
    });
    const parsed = JSON.parse(unstreamed.body);
    expect(parsed.choices[0].message.content).toBe(expected);
    expect(parsed.usage.completion_tokens).toBe(streamed.pieces);
    const completion = { model: "assistant", prompt: "Dear", max_tokens: 5 };
    const text = await live.call(2, "/v1/completions", {
      method: "POST",
      body: JSON.stringify(completion),
    });
    expect(JSON.parse(text.body).choices[0].text)
      .toBe(expectedCompletion(completion, "demo"));
  });

  test("returns a response again from any entry, starting at any chunk", async () => {
    const body = createChatBody("Fetch me again", 20);
    const { requestId, text } = await streamChatCompletion({
      entries: live.callerAddresses,
      key: live.key,
      body,
    });
    const path = `/v1/requests/${encodeURIComponent(requestId)}`;
    for (const entryIndex of [0, 1, 2]) {
      const reply = await live.call(entryIndex, path, {
        headers: { "last-event-id": "3" },
      });
      const ids = [...reply.body.matchAll(/^id: (\d+)$/gm)].map((m) => m[1]);
      expect(ids[0]).toBe("4");
      expect(reply.body).toContain("[DONE]");
    }
    const otherKey = live.deployment.callerKeys["inn"]!;
    const foreignReply = await live.call(0, path, {
      headers: { authorization: `Bearer ${otherKey}` },
    });
    expect(foreignReply.status).toBe(404);
    expect(foreignReply.body).not.toContain(text.slice(0, 10));
  });

  test("denies other workspaces a running response, also at its owner", async () => {
    const response = await request(
      `http://${live.callerAddresses[0]}/v1/chat/completions`,
      {
        method: "POST",
        headers: { authorization: `Bearer ${live.key}` },
        body: JSON.stringify({
          ...createChatBody("For my eyes only", 400),
          stream: true,
        }),
      },
    );
    const id = String(response.headers["heroncleat-request"]);
    const otherKey = live.deployment.callerKeys["inn"]!;
    const foreignReply = await live.call(
      0,
      `/v1/requests/${encodeURIComponent(id)}`,
      {
        headers: { authorization: `Bearer ${otherKey}` },
      },
    );
    response.body.on("error", () => {});
    response.body.destroy();
    expect(foreignReply.status).toBe(404);
  });

  test("refuses requests with unknown keys without side effects", async () => {
    const missing = await live.call(0, "/v1/models", {
      headers: { authorization: "" },
    });
    expect(missing.status).toBe(401);
    const wrong = await live.call(0, "/services/booking/x", {
      method: "POST",
      headers: { authorization: "Bearer wrong" },
    });
    expect(wrong.status).toBe(403);
    const announced = await live.call(0, "/v1/upstreams", {
      method: "POST",
      headers: { authorization: "Bearer wrong" },
      body: "{}",
    });
    expect(announced.status).toBe(401);
    expect((await live.callStandIn("booking-1")).runs).toHaveLength(0);
  });

  test("responds to malformed, oversized, slow and half-closed requests", async () => {
    const key = `authorization: Bearer ${live.key}`;
    const head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n" + key;
    const oversized = await sendRaw(
      `${head}\r\ncontent-length: 999999\r\nconnection: close\r\n\r\n{`,
    );
    expect(oversized).toContain("413");
    expect(oversized).toContain("Remedy: send a shorter one");
    const slow = await sendRaw(`${head}\r\ncontent-length: 50\r\n\r\n{`);
    expect(slow).toContain("408");
    const halfClosed = await sendRaw(`${head}\r\ncontent-length: 50\r\n\r\n{`, {
      end: true,
    });
    expect(halfClosed).toMatch(/^HTTP\/1.1 400|^$/);
    const garbage = await sendRaw("\x00\x01 nonsense\r\n\r\n");
    expect(garbage).toContain("400");
    const valid = await live.call(0, "/v1/models");
    expect(valid.status).toBe(200);
  });

  test("responds to any body with an error or a completion, without crashing", async () => {
    const bodies = fc.oneof(
      fc.string(),
      fc.json(),
      fc.record({ model: fc.string(), messages: fc.anything() })
        .map((value) => JSON.stringify(value)),
      fc.record({
        model: fc.constant("assistant"),
        max_tokens: fc.oneof(fc.integer(), fc.string()),
        messages: fc.array(fc.record({
          role: fc.string(),
          content: fc.oneof(fc.string(), fc.integer()),
        })),
      }).map((value) => JSON.stringify(value)),
    );
    let refused = 0;
    await fc.assert(
      fc.asyncProperty(bodies, async (body) => {
        const reply = await live.call(0, "/v1/chat/completions", {
          method: "POST",
          body,
        });
        if (reply.status !== 200) {
          const { error } = JSON.parse(reply.body);
          expect(error.message).toContain("Remedy:");
          expect(error.run).toBe("not-run");
          expect([400, 413, 503]).toContain(reply.status);
          refused += 1;
        }
      }),
      { numRuns: 200, seed: 5 },
    );
    expect(refused).toBeGreaterThan(100);
    expect((await live.call(0, "/v1/models")).status).toBe(200);
  });
});

describe("a non-idempotent call", () => {
  test("runs once when it is sent to all entries concurrently", async () => {
    const replies = await Promise.all(
      Array.from(
        { length: 30 },
        (_, n) => live.bookTable(n % 3, "party-of-seven"),
      ),
    );
    const bodies = new Set(replies.map((reply) => reply.body));
    expect(replies.map((reply) => reply.status)).toEqual(
      replies.map(() => 200),
    );
    expect(bodies.size).toBe(1);
    const { runs } = await live.callStandIn("booking-1");
    expect(runs.filter((run) => run.key === "party-of-seven")).toHaveLength(1);
  });

  test("is a conflict and not run when its key has another body", async () => {
    await live.bookTable(0, "window-table", '{"party":2}');
    const reply = await live.bookTable(1, "window-table", '{"party":9}');
    expect(reply.status).toBe(409);
    expect(JSON.parse(reply.body).error.run).toBe("not-run");
    const { runs } = await live.callStandIn("booking-1");
    expect(runs.filter((run) => run.key === "window-table")).toHaveLength(1);
  });

  test.each(["fail", "cut", "truncate", "refuse"])(
    "runs at most once when the service's behaviour is %s",
    async (behaviour) => {
      await live.callStandIn("booking-1", { behaviour });
      const first = await live.bookTable(0, `key-${behaviour}`);
      await live.callStandIn("booking-1", { behaviour: "normal" });
      const again = await live.bookTable(1, `key-${behaviour}`);
      const { runs } = await live.callStandIn("booking-1");
      const count = runs.filter((run) => run.key === `key-${behaviour}`).length;
      const isReportedNotRun = behaviour === "refuse";
      // The service reported not run, so the repeated call may run once.
      expect(count).toBe(behaviour === "fail" ? 0 : 1);
      expect(first.headers["heroncleat-run"]).toBe(
        isReportedNotRun
          ? "not-run"
          : behaviour === "fail"
          ? undefined
          : "unknown",
      );
      if (!isReportedNotRun) {
        expect(again.status).toBe(first.status);
      } else {
        expect(again.status).toBe(200);
      }
    },
  );
});
