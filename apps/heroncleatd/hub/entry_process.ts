import { type ChildProcess, fork } from "node:child_process";
import type { ResumptionLine } from "./resumption_line.ts";

const PROGRAM = "apps/heroncleatd/dist/hub/run_test_entry.js";

/** An entry of a test group in a process of its own. */
export class EntryProcess {
  readonly #arguments: readonly string[];
  #child: ChildProcess | undefined;
  /** The lines that it logged about resumed streams. */
  readonly resumptions: ResumptionLine[] = [];

  constructor(firstPort: number, index: number) {
    this.#arguments = [String(firstPort), String(index)];
  }

  start(): void {
    this.#child = fork(PROGRAM, this.#arguments, {
      stdio: ["ignore", "ignore", "inherit", "ipc"],
    });
    this.#child.on("message", (line) => {
      this.resumptions.push(line as ResumptionLine);
    });
  }

  /** Ends the process without notice; resolves when it is gone. */
  async kill(): Promise<void> {
    const child = this.#child;
    this.#child = undefined;
    if (child === undefined || child.exitCode !== null) {
      return;
    }
    await new Promise((resolve) => {
      child.once("exit", resolve);
      child.kill("SIGKILL");
    });
  }
}
