/** Why a request is refused. @public */
export const RefusalReason = {
  /** It would miss its own objective. */
  objective: "objective",
  /** More urgent requests that may arrive next would miss theirs. */
  priority: "priority",
  /** Its workspace is beyond its fair share. */
  workspace: "workspace",
} as const;

export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason];
