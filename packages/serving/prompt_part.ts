/** A part of a prompt, cached together with all parts before it. @public */
export type PromptPart = { readonly id: string; readonly tokens: number };
