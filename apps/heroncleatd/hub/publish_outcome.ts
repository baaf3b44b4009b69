/** Result of publishing a configuration document. */
export type PublishOutcome = "accepted" | "unavailable";
