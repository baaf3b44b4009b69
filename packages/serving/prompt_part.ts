/** One part of a prompt, in order; parts are cached as a chain. @public */
export type PromptPart = { readonly id: string; readonly tokens: number };
