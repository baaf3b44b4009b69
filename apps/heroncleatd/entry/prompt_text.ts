/** The parts of a body that make up the prompt. */
type PromptBody = {
  readonly prompt?: string;
  readonly messages?: readonly { role: string; content: string }[];
};

/** The whole prompt of a generation, as one text. */
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
