/** The fields of a request body that make up the prompt. */
type PromptBody = {
  readonly prompt?: string;
  readonly messages?: readonly { role: string; content: string }[];
};

/** Concatenates the prompt of a generation into one text. */
export function promptText(body: string): string {
  const { prompt, messages } = JSON.parse(body) as PromptBody;
  if (prompt !== undefined) {
    return prompt;
  }
  const lines = (messages ?? []).map(({ role, content }) =>
    `${role}: ${content}\n`
  );
  return lines.join("");
}
