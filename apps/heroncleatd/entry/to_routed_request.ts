import { hashPrefixBlocks, type RoutedRequest } from "@heroncleat/routing";
import type { RequestRecord } from "@heroncleat/schema";
import { promptText } from "./prompt_text.ts";

/** Converts a generation to the router's request type. */
export function toRoutedRequest(
  record: RequestRecord,
  chainHash: (text: string, seed: string) => string,
): RoutedRequest {
  return {
    id: record.id,
    workspace: record.workspace,
    model: record.model,
    service: "",
    method: "POST",
    path: "",
    prefix: hashPrefixBlocks(promptText(record.body), chainHash),
    promptTokens: record.promptTokens,
    isContinued: false,
    exclude: [],
  };
}
