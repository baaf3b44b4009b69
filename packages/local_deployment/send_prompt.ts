import { request } from "undici";

/** Response to one prompt. */
type PromptResponse = {
  readonly text: string;
  readonly requestId: string;
  readonly upstream: string;
  /** Milliseconds until the first chunk of text. */
  readonly timeToFirstToken: number;
};

/** Sends one prompt and prints the response as it streams in. @public */
export async function sendPrompt(
  address: string,
  options: {
    key: string;
    prompt: string;
    maxTokens?: number;
    print?: (text: string) => void;
  },
): Promise<PromptResponse> {
  const startedAt = performance.now();
  const response = await request(`http://${address}/v1/chat/completions`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${options.key}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({
      model: "assistant",
      stream: true,
      max_tokens: options.maxTokens ?? 60,
      messages: [{ role: "user", content: options.prompt }],
    }),
  });
  if (response.statusCode !== 200) {
    throw new Error(`${response.statusCode} ${await response.body.text()}`);
  }
  let text = "";
  let timeToFirstToken = 0;
  for await (const chunk of response.body) {
    for (const content of readContent(String(chunk))) {
      timeToFirstToken ||= performance.now() - startedAt;
      text += content;
      options.print?.(content);
    }
  }
  const requestId = String(response.headers["heroncleat-request"]);
  const upstream = String(response.headers["heroncleat-upstream"]);
  return { text, requestId, upstream, timeToFirstToken };
}

function readContent(chunk: string): string[] {
  const contents: string[] = [];
  for (const line of chunk.split("\n")) {
    if (!line.startsWith("data: {")) {
      continue;
    }
    const event = JSON.parse(line.slice("data: ".length));
    const content = event.choices?.[0]?.delta?.content;
    if (typeof content === "string") {
      contents.push(content);
    }
  }
  return contents;
}
