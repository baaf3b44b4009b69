import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  type Deployment,
  type DeploymentPlan,
  type ProcessGroup,
  startDeployment,
  waitFor,
  writeDeployment,
} from "@heroncleat/local_deployment";
import type { ConfigurationView, Edit } from "@heroncleat/schema";
import { request } from "undici";

const SCRIPTS = {
  daemon: "apps/heroncleatd/dist/main.js",
  standIn: "packages/stand_ins/dist/main.js",
};

/** What a test's HTTP call answered. */
type Answer = {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: string;
};

/** A deployment of real processes for one test file. */
export class LiveDeployment {
  readonly deployment: Deployment;
  processes!: ProcessGroup;

  constructor(plan: Omit<DeploymentPlan, "folder">) {
    const folder = mkdtempSync(join(tmpdir(), "heroncleat-test-"));
    this.deployment = writeDeployment({ ...plan, folder });
  }

  async start(): Promise<void> {
    this.processes = await startDeployment(this.deployment, SCRIPTS);
  }

  stop(): void {
    this.processes?.kill();
    rmSync(this.deployment.folder, { recursive: true, force: true });
  }

  /** Starts a process of the deployment again. */
  restart(name: string): void {
    const { controls, entries, upstreams } = this.deployment;
    const peer = [...controls, ...entries].find((known) => known.name === name);
    if (peer !== undefined) {
      this.processes.start(name, {
        script: SCRIPTS.daemon,
        args: ["--settings", peer.settingsFile],
      });
      return;
    }
    const upstream = upstreams.find((known) => known.name === name)!;
    this.processes.start(name, {
      script: SCRIPTS.standIn,
      args: [upstream.settingsFile],
    });
  }

  get callers(): string[] {
    return this.deployment.entries.map((entry) => entry.callerAddress);
  }

  get key(): string {
    return Object.values(this.deployment.callerKeys)[0]!;
  }

  /** Waits until every replica and every entry serves. */
  async allServing(): Promise<void> {
    await waitFor("All replicas and entries", {
      timeout: 20_000,
      check: async () => {
        const views = await Promise.all(
          [...this.deployment.controls.keys()].map((place) =>
            this.operate(place, "configuration")
          ),
        );
        const healths = await Promise.all(
          [...this.callers.keys()].map((place) =>
            this.call(place, "/v1/health")
          ),
        );
        const all = [...views, ...healths];
        return all.every(({ status }) => status === 200) || undefined;
      },
    });
  }

  /** Calls an entry with the caller's key. */
  async call(
    place: number,
    path: string,
    options: {
      method?: string;
      headers?: Record<string, string>;
      body?: string;
      timeout?: number;
    } = {},
  ): Promise<Answer> {
    const response = await request(`http://${this.callers[place]}${path}`, {
      method: (options.method ?? "GET") as "GET",
      headers: { authorization: `Bearer ${this.key}`, ...options.headers },
      body: options.body ?? null,
      signal: AbortSignal.timeout(options.timeout ?? 20_000),
    });
    const body = await response.body.text();
    return { status: response.statusCode, headers: response.headers, body };
  }

  /** Books a table: a call that may not run twice. */
  book(place: number, key: string, body = "{}"): Promise<Answer> {
    return this.call(place, "/services/booking/confirm", {
      method: "POST",
      headers: { "idempotency-key": key, "heroncleat-deadline": "6000" },
      body,
    });
  }

  /** Asks the operator API of one replica. */
  async operate(
    place: number,
    path: string,
    body?: unknown,
  ): Promise<{ status: number; value: Record<string, unknown> }> {
    const control = this.deployment.controls[place]!;
    const response = await request(
      `http://${control.operatorAddress}/v1/operator/${path}`,
      {
        method: body === undefined ? "GET" : "POST",
        headers: {
          authorization: `Bearer ${this.deployment.operatorToken}`,
          "content-type": "application/json",
        },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(10_000),
      },
    );
    const value = await response.body.json() as Record<string, unknown>;
    return { status: response.statusCode, value };
  }

  async readView(place = 0): Promise<ConfigurationView> {
    const { value } = await this.operate(place, "configuration");
    return value as unknown as ConfigurationView;
  }

  /** Changes the configuration at its present revision, until it is taken. */
  async change(edits: Edit[], id: string): Promise<number> {
    return await waitFor("A change", {
      timeout: 10_000,
      check: async () => {
        for (const place of this.deployment.controls.keys()) {
          const revision = await this.#tryChange(place, { edits, id })
            .catch(() => undefined);
          if (revision !== undefined) {
            return revision;
          }
        }
        return undefined;
      },
    });
  }

  async #tryChange(
    place: number,
    options: { edits: Edit[]; id: string },
  ): Promise<number | undefined> {
    const { revision } = await this.readView(place);
    const reply = await this.operate(place, "changes", {
      ...options,
      expectedRevision: revision,
    });
    return reply.status === 200 ? reply.value["revision"] as number : undefined;
  }

  /** Steers or questions a stand-in upstream. */
  async standIn(
    name: string,
    order?: Record<string, unknown>,
  ): Promise<{
    runs: { key: string; attempt: string; body: string }[];
    counts: Record<string, number>;
    orders: { fencing: number; accepted: boolean; name: string }[];
  }> {
    const upstream = this.deployment.upstreams.find((known) =>
      known.name === name
    )!;
    const response = await request(`http://${upstream.address}/stand_in`, {
      method: order === undefined ? "GET" : "POST",
      body: order === undefined ? null : JSON.stringify(order),
    });
    return await response.body.json() as never;
  }

  /** Name of the replica that leads. */
  async leader(): Promise<string> {
    return await waitFor("A leader", {
      timeout: 10_000,
      check: async () => {
        for (const place of this.deployment.controls.keys()) {
          const reply = await this.operate(place, "status")
            .catch(() => undefined);
          const replicas = (reply?.value["replicas"] ?? []) as {
            name: string;
            role: string;
          }[];
          const found = replicas.find(({ role }) => role === "leader");
          if (found !== undefined) {
            return found.name;
          }
        }
        return undefined;
      },
    });
  }
}
