/** One attempt at an upstream as an entry's log tells it. */
export type LoggedAttempt = {
  readonly upstream: string;
  readonly outcome: string;
  /** Times in ms after the request arrived, or after the send. */
  readonly sentAfter: number;
  readonly expected: number;
  readonly firstByte: number | undefined;
  /** Everything that the entry says of the attempt. */
  readonly facts: string;
};

const ATTEMPT = /^(\S+): (.*?) \(([^()]*)\)$/;

/** Reads the attempts that the line of a request's end lists. */
export function readAttempts(text: string): LoggedAttempt[] {
  const attempts: LoggedAttempt[] = [];
  for (const part of text.split("; ")) {
    const [, upstream, outcome, facts] = ATTEMPT.exec(part) ?? [];
    if (upstream === undefined || facts === undefined) {
      continue;
    }
    attempts.push({
      upstream,
      outcome: outcome ?? "",
      sentAfter: readFact(facts, "sent_after") ?? 0,
      expected: readFact(facts, "expected") ?? 0,
      firstByte: readFact(facts, "first_byte"),
      facts,
    });
  }
  return attempts;
}

function readFact(facts: string, name: string): number | undefined {
  const found = new RegExp(`(?:^| )${name}=(-?\\d+)`).exec(facts)?.[1];
  return found === undefined ? undefined : Number(found);
}
