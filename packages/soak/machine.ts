import { type ChildProcess, spawn } from "node:child_process";
import {
  closeSync,
  mkdirSync,
  openSync,
  renameSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { join } from "node:path";
import type { Milliseconds } from "@heroncleat/base";
import { LinkProxy } from "./link_proxy.ts";
import { pause } from "./pause.ts";
import type { MachinePlan } from "./machine_plan.ts";
import type { ProgramAdapter } from "./program_adapter.ts";

/** Preload scripts that redirect connections and inject faults. */
const PRELOAD_ARGS = ["redirect_sockets.mjs", "inject_faults.mjs"].flatMap(
  (name) => ["--import", new URL(`../${name}`, import.meta.url).pathname],
);

/** Faults of a VM's disk and clocks. */
type InjectedFaults = {
  /** Extra time that each sync takes. */
  readonly syncDelay?: Milliseconds;
  readonly isDiskFull?: boolean;
  readonly clockAhead?: Milliseconds;
  /** Suspended time, which the steady clock of its processes leaves out. */
  readonly suspendedFor?: Milliseconds;
};

type Role = "entry" | "control";

const END_SIGNALS: readonly NodeJS.Signals[] = ["SIGTERM", "SIGKILL"];

/** One VM of a soak: its processes, its disk and its loopback address. */
export class Machine {
  readonly name: string;
  readonly zone: string;
  readonly host: string;
  readonly hasControlProcess: boolean;
  /** Whether its control process runs a replica; otherwise it is a proxy. */
  readonly hasReplica: boolean;
  /** When its entry process last started. */
  startedAt: Milliseconds = 0;
  /** When its entry was last started, stopped, frozen or resumed. */
  interruptedAt: Milliseconds = -Infinity;
  /** When other parties discover it; after its start for an added VM. */
  readonly discoverableFrom: Milliseconds;
  /** When it was removed permanently. */
  removedAt: Milliseconds = Infinity;
  readonly #adapter: ProgramAdapter;
  readonly #folder: string;
  readonly #proxyAddress: string;
  #areStartsPrevented = false;
  readonly #processes = new Map<Role, ChildProcess>();
  readonly #onOwnEnd: (text: string) => void;
  /** Processes that were told to end. */
  readonly #ended = new WeakSet<ChildProcess>();
  /** Total suspended time since the start of the soak. */
  #suspendedFor: Milliseconds = 0;

  constructor(
    plan: {
      name: string;
      zone: string;
      host: string;
      hasControlProcess: boolean;
      hasReplica: boolean;
      discoverableFrom: Milliseconds;
    },
    options: {
      adapter: ProgramAdapter;
      folder: string;
      proxyAddress: string;
      /** Called when a process has ended that wasn't told to. */
      onOwnEnd: (text: string) => void;
    },
  ) {
    this.#onOwnEnd = options.onOwnEnd;
    this.name = plan.name;
    this.zone = plan.zone;
    this.host = plan.host;
    this.hasControlProcess = plan.hasControlProcess;
    this.hasReplica = plan.hasReplica;
    this.discoverableFrom = plan.discoverableFrom;
    this.#adapter = options.adapter;
    this.#folder = options.folder;
    this.#proxyAddress = options.proxyAddress;
  }

  get isRemoved(): boolean {
    return this.removedAt < Infinity;
  }

  /** Whether others, which see changes late, discover it. */
  isDiscoverable(now: Milliseconds, lag: Milliseconds): boolean {
    return this.discoverableFrom <= now && now < this.removedAt + lag;
  }

  get roles(): readonly Role[] {
    return this.hasControlProcess ? ["control", "entry"] : ["entry"];
  }

  /** Address of its control process for operators and upstreams. */
  get operatorAddress(): string {
    return `${this.host}:${this.#adapter.ports.operators}`;
  }

  get callerAddress(): string {
    return `${this.host}:${this.#adapter.ports.callers}`;
  }

  get lookupAddress(): string {
    return `${this.host}:${this.#adapter.ports.lookups}`;
  }

  /** Makes later calls of `start` do nothing. */
  preventStarts(): void {
    this.#areStartsPrevented = true;
  }

  /** Starts its processes that aren't running. */
  start(options: { seeds: readonly string[]; isFirstStart: boolean }): void {
    if (this.#areStartsPrevented) {
      return;
    }
    const dataFolder = this.hasReplica ? this.#dataFolder : undefined;
    if (dataFolder !== undefined) {
      mkdirSync(dataFolder, { recursive: true });
    }
    const plan: MachinePlan = {
      name: this.name,
      zone: this.zone,
      host: this.host,
      dataFolder,
      ...options,
    };
    const file = join(this.#folder, `${this.name}.json`);
    writeFileSync(file, this.#adapter.writeSettings(plan));
    for (const role of this.roles) {
      if (!this.#isRunning(role)) {
        this.#spawn(role, file);
      }
    }
  }

  signal(signal: NodeJS.Signals, roles: readonly Role[] = this.roles): void {
    if (roles.includes("entry") && signal !== "SIGHUP") {
      this.interruptedAt = performance.now();
    }
    for (const role of roles) {
      const child = this.#processes.get(role);
      if (child !== undefined && END_SIGNALS.includes(signal)) {
        this.#ended.add(child);
      }
      child?.kill(signal);
    }
  }

  /** Its running processes. */
  listProcesses(): { pid: number; name: string; kill: () => void }[] {
    return [...this.#processes].flatMap(([role, child]) =>
      this.#isRunning(role) && child.pid !== undefined
        ? [{
          pid: child.pid,
          name: `${this.name}/${role}`,
          kill: () => void child.kill("SIGKILL"),
        }]
        : []
    );
  }

  /** Replaces the injected faults; takes effect within 0.1 s. */
  injectFaults(faults: InjectedFaults): void {
    // The rename is atomic, so that readers never see a partial file.
    const content = { suspendedFor: this.#suspendedFor, ...faults };
    writeFileSync(`${this.#faultsFile}.new`, JSON.stringify(content));
    renameSync(`${this.#faultsFile}.new`, this.#faultsFile);
  }

  /** Suspends the VM; processes that start later aren't affected. */
  async suspend(time: Milliseconds): Promise<void> {
    this.signal("SIGSTOP");
    const stoppedAt = performance.now();
    await pause(time);
    this.#suspendedFor += performance.now() - stoppedAt;
    this.injectFaults({});
    this.signal("SIGCONT");
  }

  /** Resolves once all its processes, or those of some roles, have exited. */
  async waitForExit(roles: readonly Role[] = this.roles): Promise<void> {
    while (roles.some((role) => this.#isRunning(role))) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
  }

  /** Empties its disk; its processes must have exited. */
  wipeDisk(): void {
    rmSync(this.#dataFolder, { recursive: true, force: true });
  }

  get #faultsFile(): string {
    return join(this.#folder, `${this.name}-faults.json`);
  }

  get #dataFolder(): string {
    return join(this.#folder, `${this.name}-data`);
  }

  #isRunning(role: Role): boolean {
    const child = this.#processes.get(role);
    return child !== undefined && child.exitCode === null &&
      child.signalCode === null;
  }

  #spawn(role: Role, settingsFile: string): void {
    if (role === "entry") {
      this.startedAt = performance.now();
      this.interruptedAt = this.startedAt;
    }
    const log = openSync(join(this.#folder, `${this.name}-${role}.log`), "a");
    const args = [...PRELOAD_ARGS, ...this.#adapter.command(role)];
    const child = spawn(process.execPath, args, {
      stdio: ["ignore", log, log],
      env: {
        PATH: process.env["PATH"],
        SOAK_PROXY: this.#proxyAddress,
        SOAK_PROXY_PORTS: String(LinkProxy.portCount),
        SOAK_HOST: this.host,
        SOAK_FAULTS: this.#faultsFile,
        [this.#adapter.settingsVariable]: settingsFile,
      },
    });
    closeSync(log);
    child.once("exit", (code, signal) => {
      if (!this.#ended.has(child)) {
        this.#onOwnEnd(
          `${this.name}/${role} ended with ${code ?? signal ?? "no code"}`,
        );
      }
    });
    this.#processes.set(role, child);
  }
}
