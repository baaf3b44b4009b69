import { formatTable } from "../format_table.ts";
import type { Explanation, TimelineStep } from "./explain_request.ts";

/** Formats an explanation as text for a terminal. */
export function formatExplanation(explanation: Explanation): string {
  const { request, steps, around, hints } = explanation;
  const startedAt = steps[0]!.at;
  const table = (list: readonly TimelineStep[]) =>
    formatTable(
      ["TIME", "AFTER", "PROCESS", "CLOCK", "WHAT"],
      list.map(({ at, process, text, clockAhead }) => [
        new Date(at).toISOString(),
        `${Math.round(at - startedAt)} ms`,
        process,
        clockAhead === 0 ? "" : `off by ${Math.round(clockAhead)} ms`,
        text,
      ]),
    );
  const sections = [`Request ${request}`, table(steps)];
  if (around.length > 0) {
    sections.push("Other events at that time", table(around));
  }
  if (hints.length > 0) {
    sections.push(["Hints", ...hints.map((hint) => `- ${hint}`)].join("\n"));
  }
  return sections.join("\n\n");
}
