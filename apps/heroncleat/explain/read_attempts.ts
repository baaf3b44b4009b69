/** One attempt at an upstream, as an entry logged it. */
export type LoggedAttempt = {
  readonly upstream: string;
  readonly outcome: string;
  /** Time from the arrival of the request to the send, in ms. */
  readonly sentAfter: number;
  /** Expected time from the send to the first byte, in ms. */
  readonly expected: number;
  /** Measured time from the send to the first byte, in ms. */
  readonly firstByte: number | undefined;
  /** All `key=value` pairs that the entry logged with the attempt. */
  readonly details: string;
};

const ATTEMPT_PATTERN = /^(\S+): (.*?) \(([^()]*)\)$/;

/** Parses the `attempts` field of the line that an ended request leaves. */
export function readAttempts(text: string): LoggedAttempt[] {
  const attempts: LoggedAttempt[] = [];
  for (const part of text.split("; ")) {
    const [, upstream, outcome, details] = ATTEMPT_PATTERN.exec(part) ?? [];
    if (upstream === undefined || details === undefined) {
      continue;
    }
    attempts.push({
      upstream,
      outcome: outcome ?? "",
      sentAfter: readDetail(details, "sent_after") ?? 0,
      expected: readDetail(details, "expected") ?? 0,
      firstByte: readDetail(details, "first_byte"),
      details,
    });
  }
  return attempts;
}

function readDetail(details: string, name: string): number | undefined {
  const match = new RegExp(`(?:^| )${name}=(-?\\d+)`).exec(details)?.[1];
  return match === undefined ? undefined : Number(match);
}
