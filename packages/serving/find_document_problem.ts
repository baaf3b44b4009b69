import { findDocumentErrors } from "./find_document_errors.ts";
import type { ServingDocument } from "./serving_document.ts";

/**
 * Finds the first problem of a configuration document.
 *
 * @returns The problem with its remedy; undefined for a valid document.
 *
 * @public
 */
export function findDocumentProblem(
  document: ServingDocument,
): string | undefined {
  return findDocumentErrors(document)[0]?.message;
}
