import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import { join } from "node:path";

type StartedProcess = {
  readonly name: string;
  readonly script: string;
  readonly child: ChildProcess;
  readonly exited: Promise<number>;
};

/** The processes of a local deployment, each with a log file. @public */
export class ProcessGroup {
  readonly #folder: string;
  readonly #processes = new Map<string, StartedProcess>();

  constructor(folder: string) {
    this.#folder = folder;
  }

  start(name: string, options: { script: string; args: string[] }): void {
    const log = openSync(join(this.#folder, `${name}.log`), "a");
    const child = spawn(process.execPath, [options.script, ...options.args], {
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    const exited = new Promise<number>((resolve) => {
      child.once("exit", (code) => resolve(code ?? 1));
    });
    const { script } = options;
    this.#processes.set(name, { name, script, child, exited });
  }

  /** Starts a process of the group again with the same script. */
  restart(name: string, args: string[]): void {
    const { script } = this.#processes.get(name)!;
    this.start(name, { script, args });
  }

  signal(name: string, signal: NodeJS.Signals): void {
    this.#processes.get(name)!.child.kill(signal);
  }

  /** Resolves with the exit code of a process; 1 if a signal ended it. */
  waitForExit(name: string): Promise<number> {
    return this.#processes.get(name)!.exited;
  }

  pidOf(name: string): number {
    return this.#processes.get(name)!.child.pid!;
  }

  /** Shuts down some processes gracefully and returns their exit codes. */
  async stop(names: readonly string[]): Promise<number[]> {
    const codes: Promise<number>[] = [];
    for (const name of names) {
      const started = this.#processes.get(name)!;
      started.child.kill("SIGTERM");
      codes.push(started.exited);
    }
    return await Promise.all(codes);
  }

  /** Kills all processes without a graceful shutdown. */
  kill(): void {
    for (const { child } of this.#processes.values()) {
      if (child.exitCode === null) {
        child.kill("SIGKILL");
      }
    }
  }
}
