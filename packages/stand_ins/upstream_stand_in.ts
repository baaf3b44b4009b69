import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { type Milliseconds, splitAddress } from "@heroncleat/base";
import { Announcer } from "./announcer.ts";
import { EngineServer } from "./engine_server.ts";
import { ModelEngine } from "./model_engine.ts";
import { OrderLog } from "./order_log.ts";
import { readBody } from "./read_body.ts";
import { ServiceServer } from "./service_server.ts";
import { StandInBehaviour } from "./stand_in_behaviour.ts";
import type { StandInSettings } from "./stand_in_settings.ts";

/** Path at which tests control and inspect a stand-in. */
const CONTROL_PATH = "/stand_in";

/**
 * A stand-in upstream: a model engine or a plain service that announces itself,
 * handles orders, and can be made to misbehave or to depart.
 *
 * @public
 */
export class UpstreamStandIn {
  readonly #settings: StandInSettings;
  readonly #server: Server;
  readonly #engine: EngineServer;
  readonly #service: ServiceServer;
  readonly #announcer: Announcer;
  readonly #orders: OrderLog;
  #models: string[];
  /** Requests per second that its responses state; undefined for none. */
  #rateLimit: number | undefined;
  /** Seconds of rest that its rejections ask for; undefined for none. */
  #retryAfter: number | undefined;
  #isLeaving = false;
  /** Number of requests that reached it. */
  #received = 0;
  /** Number of requests whose responses aren't complete. */
  #inFlight = 0;

  constructor(settings: StandInSettings) {
    this.#settings = settings;
    this.#models = [...settings.models];
    this.#orders = new OrderLog(settings.checksFencing);
    const engine = new ModelEngine(settings.engine, (action, delay) => {
      const timer = setTimeout(action, delay);
      return () => clearTimeout(timer);
    });
    this.#engine = new EngineServer(engine, settings.crashOn);
    this.#service = new ServiceServer(settings.crashOn);
    this.#announcer = new Announcer(settings, () => ({
      running: engine.running,
      waiting: engine.waiting,
      kvUsedShare: engine.kvUsedShare,
    }));
    this.#server = createServer((request, response) => {
      this.#inFlight += 1;
      response.once("close", () => this.#inFlight -= 1);
      this.#handle(request, response).catch(() => response.destroy());
    });
  }

  async start(): Promise<void> {
    const { host, port } = splitAddress(this.#settings.address);
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    this.#announcer.start();
  }

  /** Announces the reclaim; the caller stops the process when time is up. */
  async announceReclaim(reclaimIn: Milliseconds): Promise<void> {
    await this.#announcer.announceReclaim(reclaimIn);
  }

  get isIdle(): boolean {
    const { running, waiting } = this.#engine.engine;
    return running + waiting + this.#inFlight === 0;
  }

  stop(): void {
    this.#announcer.stop();
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.url ?? "";
    if (path.startsWith(CONTROL_PATH)) {
      await this.#handleControl(request, response);
      return;
    }
    if (path.endsWith("_lora_adapter") || path === "/v1/role") {
      await this.#handleOrder(request, response);
      return;
    }
    if (this.#rateLimit !== undefined) {
      response.setHeader("heroncleat-rate-limit", String(this.#rateLimit));
    }
    this.#received += 1;
    if (
      this.#retryAfter !== undefined &&
      this.#service.behaviour === StandInBehaviour.refuse
    ) {
      response.setHeader("retry-after", String(this.#retryAfter));
    }
    if (this.#isLeaving) {
      response.setHeader("heroncleat-leaving", "1");
    }
    if (this.#settings.kind === "model_engine") {
      await this.#engine.handle(request, response);
      return;
    }
    await this.#service.handle(request, response);
  }

  async #handleOrder(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = JSON.parse(await readBody(request));
    const name = String(body.lora_name ?? body.role);
    const path = request.url ?? "";
    const fencing = Number(request.headers["heroncleat-fencing"] ?? 0);
    if (!this.#orders.record({ fencing, path, name })) {
      response.writeHead(409);
      response.end("the fencing number is old");
      return;
    }
    this.#updateModels(path, name);
    response.end("ok");
  }

  #updateModels(path: string, name: string): void {
    if (path === "/v1/load_lora_adapter" && !this.#models.includes(name)) {
      this.#models.push(name);
    }
    if (path === "/v1/unload_lora_adapter") {
      this.#models = this.#models.filter((model) => model !== name);
    }
    this.#announcer.setModels(this.#models);
  }

  async #handleControl(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === "POST") {
      const body = JSON.parse(await readBody(request));
      if (body.behaviour in StandInBehaviour) {
        this.#engine.behaviour = body.behaviour;
        this.#service.behaviour = body.behaviour;
      }
      if ("rateLimit" in body) {
        this.#rateLimit = body.rateLimit ?? undefined;
      }
      if ("retryAfter" in body) {
        this.#retryAfter = body.retryAfter ?? undefined;
      }
      this.#isLeaving = body.leaving ?? this.#isLeaving;
      if (typeof body.leaveIn === "number") {
        await this.announceReclaim(body.leaveIn);
      }
    }
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify({
      runs: this.#service.runs,
      counts: this.#engine.engine.counts,
      orders: this.#orders.received,
      received: this.#received,
    }));
  }
}
