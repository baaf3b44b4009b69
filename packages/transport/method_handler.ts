/** Answers one method; what it throws becomes a JSON-RPC error. @public */
export type MethodHandler = (parameters: unknown) => unknown;
