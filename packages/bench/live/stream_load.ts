import { build, type Histogram } from "hdr-histogram-js";
import { type Agent, request } from "undici";

/** What a load is made of. */
type LoadOptions = {
  /** Addresses in turn. */
  readonly addresses: readonly string[];
  readonly key: string;
  /** Requests a second, evenly spaced whatever the answers do. */
  readonly rate: number;
  readonly seconds: number;
  readonly tokens: number;
  readonly agent: Agent;
};

/** Latencies in microseconds. */
type LoadResult = {
  readonly first: Histogram;
  readonly between: Histogram;
  readonly answered: number;
  readonly failed: number;
};

const MICROSECONDS = 1000;
const MS_PER_SECOND = 1000;

/** Sends streamed chat requests at a fixed rate and times their tokens. */
export async function runStreamLoad(options: LoadOptions): Promise<LoadResult> {
  const first = build({ numberOfSignificantValueDigits: 3 });
  const between = build({ numberOfSignificantValueDigits: 3 });
  const result = { first, between, answered: 0, failed: 0 };
  const total = options.rate * options.seconds;
  const startedAt = performance.now();
  const running: Promise<void>[] = [];
  let sent = 0;
  while (sent < total) {
    const due = (performance.now() - startedAt) / MS_PER_SECOND * options.rate;
    while (sent < Math.min(total, due)) {
      running.push(sendOne(options, { place: sent, result }));
      sent += 1;
    }
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  await Promise.all(running);
  return result;
}

async function sendOne(
  options: LoadOptions,
  target: {
    place: number;
    result: { -readonly [Key in keyof LoadResult]: LoadResult[Key] };
  },
): Promise<void> {
  const { place, result } = target;
  const address = options.addresses[place % options.addresses.length]!;
  const body = JSON.stringify({
    model: "assistant",
    stream: true,
    max_tokens: options.tokens,
    messages: [{ role: "user", content: `Load ${place}` }],
  });
  const sentAt = performance.now();
  let lastAt = 0;
  try {
    const response = await request(`http://${address}/v1/chat/completions`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${options.key}`,
        "content-type": "application/json",
      },
      body,
      dispatcher: options.agent,
    });
    for await (const _chunk of response.body) {
      const now = performance.now();
      if (lastAt === 0) {
        result.first.recordValue((now - sentAt) * MICROSECONDS);
      } else {
        result.between.recordValue((now - lastAt) * MICROSECONDS);
      }
      lastAt = now;
    }
    result.answered += response.statusCode === 200 ? 1 : 0;
    result.failed += response.statusCode === 200 ? 0 : 1;
  } catch {
    result.failed += 1;
  }
}
