/** A stand-in server of a plain service, as PROTOCOL.md describes one. */
import http from "node:http";
import { callOnce } from "./harness.mjs";

const HEARTBEAT_MS = 1200;

export class Runner {
  /** What it ran: attempt and time. */
  runs = [];
  #sequence = 0;
  #state = "ready";

  /** @param options.respond Called with the request and the response. */
  constructor(deployment, { index, service, slots, respond }) {
    this.deployment = deployment;
    this.id = `i-${(Math.random().toString(16) + "0000000").slice(2, 10)}`;
    this.service = service;
    this.slots = slots;
    this.host = `${deployment.network.prefix}.${100 + index}`;
    this.port = deployment.network.port + 20;
    this.zone = deployment.machines[index % deployment.machines.length].zone;
    this.server = http.createServer((request, response) => {
      let bytes = 0;
      request.on("data", (chunk) => bytes += chunk.length);
      request.on(
        "end",
        () => this.#serve(request, response, { bytes, respond }),
      );
      request.on("error", () => {});
    });
    this.server.keepAliveTimeout = 5000;
  }

  async start() {
    await new Promise((done) => this.server.listen(this.port, this.host, done));
    await this.#beat();
    this.timer = setInterval(() => this.#beat(), HEARTBEAT_MS);
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  #serve(request, response, { bytes, respond }) {
    const attempt = request.headers["attempt-id"] ?? "";
    response.setHeader("Attempt-Id", attempt);
    const expected = request.headers["expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "Instance-Id": this.id }).end();
      return;
    }
    if (request.url === "/healthz") {
      response.writeHead(200, { "Instance-Id": this.id }).end();
      return;
    }
    this.runs.push({ attempt, bytes });
    this.deployment.record.write(
      `${this.id} runs ${attempt} ${request.method} ${request.url} ` +
        `(${bytes} bytes)`,
    );
    response.setHeader("Backend-Signature", `${this.id}.${attempt}`);
    respond({ request, response });
  }

  async #beat() {
    this.#sequence += 1;
    const body = JSON.stringify({
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: this.#state,
      coldRemainingMs: 0,
      sequence: this.#sequence,
    });
    for (const machine of this.deployment.machines) {
      const { status } = await callOnce(machine.control, {
        method: "PUT",
        path: `/heroncleat/instances/${this.id}`,
        body,
      });
      if (status >= 200 && status < 300) {
        return;
      }
    }
  }
}
