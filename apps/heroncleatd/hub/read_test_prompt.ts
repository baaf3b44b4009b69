import type { IncomingHttpHeaders } from "node:http";
import type { Prompt } from "../gateway/prompt.ts";
import { TEST_PARTS_HEADER } from "./test_parts_header.ts";

const TOKENS_PER_PART = 10;

/** Reads the comma-separated parts of a test's prompt. */
export function readTestPrompt(
  headers: IncomingHttpHeaders,
): Prompt | undefined {
  const value = headers[TEST_PARTS_HEADER];
  if (typeof value !== "string") {
    return undefined;
  }
  const parts = value.split(",").map((id) => ({ id, tokens: TOKENS_PER_PART }));
  return {
    promptTokens: parts.length * TOKENS_PER_PART,
    outputTokens: TOKENS_PER_PART,
    expectedTokens: undefined,
    parts,
  };
}
