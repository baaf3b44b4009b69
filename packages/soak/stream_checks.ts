import type { Milliseconds } from "@heroncleat/base";
import type { SoakUpstream } from "./soak_upstream.ts";
import type { StreamOutcome } from "./stream_outcome.ts";

/** Share of resumed streams that must go on, of the streams that begin. */
const MIN_RELATIVE_SHARE = 0.5;
/** Upstreams of a version with which its streams must go on. */
const MIN_UPSTREAMS = 2;
/** Resumed streams below which their share isn't compared. */
const MIN_RESUMES = 12;
/** The same where the last upstreams of a version are left, which is rare. */
const MIN_LAST_RESUMES = 6;

type Resumes = { sent: number; wentOn: number };

type StreamCheckOptions = {
  readonly wasEntryUndisturbed: (host: string, at: Milliseconds) => boolean;
  /** The upstreams of a version, in any state. */
  readonly listUpstreams: (version: string) => readonly SoakUpstream[];
  /** Time for which a draining upstream must take resumed streams. */
  readonly resumableTime: Milliseconds;
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
  readonly resumed: Resumes = { sent: 0, wentOn: 0 };
  /** The same while one is ready, or some drain and may be sent requests. */
  readonly resumedAtLast: Resumes = { sent: 0, wentOn: 0 };
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

  /**
   * Records an attempt to resume a stream; the returned function ends it.
   *
   * @param attempted.version Version that began the stream.
   */
  beginResume(
    { entry, version }: { entry: string; version: string },
  ): (result: { wentOn: boolean }) => void {
    const { listUpstreams, resumableTime } = this.#options;
    const usable = listUpstreams(version).filter((upstream) =>
      upstream.takesResumedStreams(resumableTime)
    );
    return ({ wentOn }) => {
      this.resumes += 1;
      const ready = listUpstreams(version).filter(({ isReady }) => isReady);
      const counts = ready.length >= MIN_UPSTREAMS
        ? this.resumed
        : usable.some(({ isListening }) => isListening)
        ? this.resumedAtLast
        : undefined;
      if (counts !== undefined && this.#isUndisturbed(entry)) {
        counts.sent += 1;
        counts.wentOn += wentOn ? 1 : 0;
      }
    };
  }

  recordOutcome({ path, versions, problem }: StreamOutcome): void {
    const { report } = this.#options;
    if (versions.size > 1) {
      const names = [...versions].join(" and ");
      report("one_version", `${path} holds events of ${names}`);
    }
    if (problem !== undefined) {
      report("whole_answer", problem);
    }
  }

  /** Checks the shares of resumed streams at the end of the soak. */
  finish(): void {
    this.#check(this.resumed, MIN_RESUMES, "two upstreams of their version");
    this.#check(
      this.resumedAtLast,
      MIN_LAST_RESUMES,
      "the last upstreams of their version",
    );
  }

  #check({ sent, wentOn }: Resumes, minSent: number, left: string): void {
    const expected = this.begun.served / this.begun.sent * MIN_RELATIVE_SHARE;
    if (sent >= minSent && wentOn / sent < expected) {
      this.#options.report(
        "resumed",
        `${wentOn} of ${sent} resumed streams went on while ${left} served, ` +
          `while ${this.begun.served} of ${this.begun.sent} began`,
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
