import { promptMessages } from "./prompt_messages.ts";

/** Concatenates the prompt of a generation into one text. */
export function promptText(body: string): string {
  return promptMessages(body).join("");
}
