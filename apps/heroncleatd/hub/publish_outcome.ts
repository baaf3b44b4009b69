/** What a change of the document came to. */
export type PublishOutcome = "accepted" | "unavailable";
