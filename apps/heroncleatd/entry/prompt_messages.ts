/** The fields of a request body that make up the prompt. */
type PromptBody = {
  readonly prompt?: string;
  readonly messages?: readonly { role: string; content: string }[];
};

/** Lists the messages of a generation's prompt, each as one line of text. */
export function promptMessages(body: string): string[] {
  const { prompt, messages } = JSON.parse(body) as PromptBody;
  if (prompt !== undefined) {
    return [prompt];
  }
  return (messages ?? []).map(({ role, content }) => `${role}: ${content}\n`);
}
