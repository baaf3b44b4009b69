import { build, type Histogram } from "hdr-histogram-js";
import { type Agent, request } from "undici";

type LoadOptions = {
  /** Servers that receive the requests in rotation, as `host:port`. */
  readonly addresses: readonly string[];
  readonly key: string;
  /**
   * Requests per second, sent at even intervals regardless of the responses.
   */
  readonly rate: number;
  readonly seconds: number;
  readonly tokens: number;
  readonly agent: Agent;
};

/** Latency histograms in microseconds, and request counts. */
type LoadResult = {
  readonly firstToken: Histogram;
  readonly tokenInterval: Histogram;
  readonly answered: number;
  readonly failed: number;
};

const MICROSECONDS_PER_MS = 1000;
const MS_PER_SECOND = 1000;

/**
 * Sends streaming chat requests at a fixed rate and measures their token
 * latencies.
 */
export async function runStreamLoad(options: LoadOptions): Promise<LoadResult> {
  const firstToken = build({ numberOfSignificantValueDigits: 3 });
  const tokenInterval = build({ numberOfSignificantValueDigits: 3 });
  const result = { firstToken, tokenInterval, answered: 0, failed: 0 };
  const totalCount = options.rate * options.seconds;
  const startedAt = performance.now();
  const running: Promise<void>[] = [];
  let sentCount = 0;
  while (sentCount < totalCount) {
    const dueCount = (performance.now() - startedAt) / MS_PER_SECOND *
      options.rate;
    while (sentCount < Math.min(totalCount, dueCount)) {
      running.push(sendRequest(options, { index: sentCount, result }));
      sentCount += 1;
    }
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  await Promise.all(running);
  return result;
}

async function sendRequest(
  options: LoadOptions,
  target: {
    index: number;
    result: { -readonly [Key in keyof LoadResult]: LoadResult[Key] };
  },
): Promise<void> {
  const { index, result } = target;
  const address = options.addresses[index % options.addresses.length]!;
  const body = JSON.stringify({
    model: "assistant",
    stream: true,
    max_tokens: options.tokens,
    messages: [{ role: "user", content: `Load ${index}` }],
  });
  const sentAt = performance.now();
  let lastChunkAt = 0;
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
      if (lastChunkAt === 0) {
        result.firstToken.recordValue((now - sentAt) * MICROSECONDS_PER_MS);
      } else {
        result.tokenInterval.recordValue(
          (now - lastChunkAt) * MICROSECONDS_PER_MS,
        );
      }
      lastChunkAt = now;
    }
    result.answered += response.statusCode === 200 ? 1 : 0;
    result.failed += response.statusCode === 200 ? 0 : 1;
  } catch {
    result.failed += 1;
  }
}
