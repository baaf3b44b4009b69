/** Handles one method; a thrown error becomes a JSON-RPC error. @public */
export type MethodHandler = (parameters: unknown) => unknown;
