import type { Milliseconds } from "@heroncleat/base";
import type { StreamOutcome } from "./stream_outcome.ts";

/** Resumed streams below which their share isn't compared. */
const MIN_RESUMES = 12;
/** Share of resumed streams that must go on, of the streams that begin. */
const MIN_RELATIVE_SHARE = 0.5;
/** Upstreams of a version with which its streams must go on. */
const MIN_UPSTREAMS = 2;

type StreamCheckOptions = {
  readonly wasEntryUndisturbed: (host: string, at: Milliseconds) => boolean;
  /** Number of ready upstreams of a version. */
  readonly countReady: (version: string) => number;
  readonly report: (
    promise: "one_version" | "whole_answer" | "resumed",
    text: string,
  ) => void;
};

/** Checks streams over all tries of their callers, from the bytes received. */
export class StreamChecks {
  readonly #options: StreamCheckOptions;
  readonly begun = { sent: 0, served: 0 };
  /** Resumed at undisturbed entries while two upstreams of the version serve. */
  readonly resumed = { sent: 0, wentOn: 0 };
  /** All attempts to resume a stream. */
  resumes = 0;

  constructor(options: StreamCheckOptions) {
    this.#options = options;
  }

  /** Records the first try of a stream. */
  recordBegin(
    { entry, hasBegun }: { entry: string; hasBegun: boolean },
  ): void {
    if (this.#isUndisturbed(entry)) {
      this.begun.sent += 1;
      this.begun.served += hasBegun ? 1 : 0;
    }
  }

  recordOutcome({ path, resumes, versions, problem }: StreamOutcome): void {
    const { report, countReady } = this.#options;
    if (versions.size > 1) {
      const names = [...versions].join(" and ");
      report("one_version", `${path} holds events of ${names}`);
    }
    if (problem !== undefined) {
      report("whole_answer", problem);
    }
    for (const { entry, version, wentOn } of resumes) {
      this.resumes += 1;
      if (this.#isUndisturbed(entry) && countReady(version) >= MIN_UPSTREAMS) {
        this.resumed.sent += 1;
        this.resumed.wentOn += wentOn ? 1 : 0;
      }
    }
  }

  /** Checks the share of resumed streams at the end of the soak. */
  finish(): void {
    const { sent, wentOn } = this.resumed;
    const expected = this.begun.served / this.begun.sent * MIN_RELATIVE_SHARE;
    if (sent >= MIN_RESUMES && wentOn / sent < expected) {
      this.#options.report(
        "resumed",
        `${wentOn} of ${sent} resumed streams went on, while ` +
          `${this.begun.served} of ${this.begun.sent} began`,
      );
    }
  }

  #isUndisturbed(entry: string): boolean {
    return this.#options.wasEntryUndisturbed(
      entry.split(":")[0]!,
      performance.now(),
    );
  }
}
